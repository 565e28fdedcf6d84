//! Tests of the request path: each module stands for one part of the package, `common` is a dispatcher before scripted
//! backends.

mod body;
mod client_left;
mod common;
mod data_rate;
mod date;
mod deadline;
mod dispatch;
mod golden;
mod upstream_connection;
mod upstream_request;
