//! Integration tests of the request path. Each module covers one part of the package; `common` provides a dispatcher
//! with scripted backends.

mod body;
mod client_left;
mod common;
mod data_rate;
mod date;
mod deadline;
mod dispatch;
mod golden;
mod silent_backend;
mod upstream_attempt;
mod upstream_connection;
mod upstream_request;
