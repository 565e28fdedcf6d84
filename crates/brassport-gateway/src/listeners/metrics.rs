//! The metrics listener. Metrics have the Prometheus text format.

use super::{serve, text_response, Handler};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

const PATH: &str = "/metrics";

/// Serves `GET /metrics`. `render` is called for each request and returns the text of all metrics.
pub async fn serve_metrics(listener: TcpListener, render: impl Fn() -> String + Clone + 'static) {
    serve(listener, MetricsHandler(render)).await;
}

#[derive(Clone)]
struct MetricsHandler<F>(F);

impl<F: Fn() -> String + Clone + 'static> Handler for MetricsHandler<F> {
    async fn handle(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != PATH {
            return text_response(StatusCode::NOT_FOUND, "only /metrics is here");
        }
        let mut response = Response::new(Full::new(Bytes::from((self.0)())));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        response
    }
}
