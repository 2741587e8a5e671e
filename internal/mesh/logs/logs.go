// Package logs gives each part of a program its own prefix in the log.
package logs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Log writes the log lines of one part.
type Log struct {
	logger *logrus.Logger
	prefix string
}

// Format is a way to write log lines.
type Format string

// Formats of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// jsonTime shows milliseconds, since a request often ends within one second.
const jsonTime = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to out.
func New(out io.Writer, format Format) (logger *logrus.Logger, err error) {
	logger = logrus.New()
	logger.SetOutput(out)
	switch format {
	case FormatText:
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: jsonTime})
	default:
		return nil, fmt.Errorf("log format %q does not exist; use text or json", format)
	}
	return logger, nil
}

// WithPrefix returns the log of one part.
func WithPrefix(logger *logrus.Logger, part string) (l Log) {
	return Log{logger: logger, prefix: part + ": "}
}

// Infof logs what an operator expects to happen.
func (l Log) Infof(format string, args ...any) { l.logger.Infof(l.prefix+format, args...) }

// Warnf logs what an operator may want to act on.
func (l Log) Warnf(format string, args ...any) { l.logger.Warnf(l.prefix+format, args...) }

// Errorf logs what stops a part from doing its work.
func (l Log) Errorf(format string, args ...any) { l.logger.Errorf(l.prefix+format, args...) }

// Fields are the inputs and the outcome of a decision, by kebab-case name.
type Fields = logrus.Fields

// InfoFields logs a decision with what it rests on.
func (l Log) InfoFields(what string, fields Fields) {
	l.logger.WithFields(fields).Info(l.prefix + what)
}
