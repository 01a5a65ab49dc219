//! Load generation and measurement.
