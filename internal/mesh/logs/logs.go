// Package logs provides loggers with a prefix per component.
package logs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Log is the logger of one component.
type Log struct {
	logger *logrus.Logger
	prefix string
}

// Format is the output format of log lines.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// jsonTime includes milliseconds, since many requests take less than a second.
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
		return nil, fmt.Errorf("unknown log format %q; use text or json", format)
	}
	return logger, nil
}

// WithPrefix returns a logger that prefixes each line with the component's name.
func WithPrefix(logger *logrus.Logger, part string) (l Log) {
	return Log{logger: logger, prefix: part + ": "}
}

// Infof logs a normal event.
func (l Log) Infof(format string, args ...any) { l.logger.Infof(l.prefix+format, args...) }

// Warnf logs a condition that may need an operator's attention.
func (l Log) Warnf(format string, args ...any) { l.logger.Warnf(l.prefix+format, args...) }

// Errorf logs a failure that stops a component from working.
func (l Log) Errorf(format string, args ...any) { l.logger.Errorf(l.prefix+format, args...) }

// Fields are the structured fields of a log line, by kebab-case name.
type Fields = logrus.Fields

// InfoFields logs a decision with its inputs and outcome as structured fields.
func (l Log) InfoFields(what string, fields Fields) {
	l.logger.WithFields(fields).Info(l.prefix + what)
}
