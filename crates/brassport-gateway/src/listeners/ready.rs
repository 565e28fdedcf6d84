//! The readiness listener, which the deployment platform checks before it routes clients to this node.

use super::{serve, text, Handler};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

const PATH: &str = "/ready";

/// Serves `GET /ready` with status 200 while `is_ready` returns `true`, and 503 otherwise.
pub async fn ready(listener: TcpListener, is_ready: impl Fn() -> bool + Clone + 'static) {
    serve(listener, Ready(is_ready)).await;
}

#[derive(Clone)]
struct Ready<F>(F);

impl<F: Fn() -> bool + Clone + 'static> Handler for Ready<F> {
    async fn handle(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != PATH {
            return text(StatusCode::NOT_FOUND, "only /ready is here");
        }
        if (self.0)() {
            text(StatusCode::OK, "ready")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
