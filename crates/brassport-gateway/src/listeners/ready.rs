//! The readiness listener, which the deployment platform checks before it routes clients to this node.

use super::{serve, text_response, Handler};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

const PATH: &str = "/ready";

/// Serves `GET /ready` with status 200 while `is_ready` returns `true`, and 503 otherwise.
pub async fn serve_ready(listener: TcpListener, is_ready: impl Fn() -> bool + Clone + 'static) {
    serve(listener, ReadyHandler(is_ready)).await;
}

#[derive(Clone)]
struct ReadyHandler<F>(F);

impl<F: Fn() -> bool + Clone + 'static> Handler for ReadyHandler<F> {
    async fn handle(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != PATH {
            return text_response(StatusCode::NOT_FOUND, "only /ready is here");
        }
        if (self.0)() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
