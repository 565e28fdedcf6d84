//! Phase 1: validation and authorization of a request by its head.

use super::rejection::Rejection;
use super::route::{self, service_of};
use crate::backend_protocol::{REQUEST_ID, TIME_LEFT_MS};
use crate::data_plane::DataPlane;
use brassport_proxy::clock::Clock;
use brassport_proxy::network::Network;
use hyper::header::{HeaderName, AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use std::time::Duration;

/// Subtracted from the client's remaining time for the network transit in both directions. The client measures its
/// timeout from sending the request to receiving the complete response.
const TRANSIT_RESERVE: Duration = Duration::from_millis(8);
/// Maximum length of a request id; a longer id is ignored.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Headers that may occur only once. With duplicates, gateway and backend might use different values.
const SINGLE_HEADERS: [HeaderName; 4] = [REQUEST_ID, TIME_LEFT_MS, HOST, AUTHORIZATION];

/// A validated and authorized request.
#[derive(Debug)]
pub(super) struct AuthorizedRequest {
    /// The target service, selected by the request id.
    pub(super) service: String,
    /// The name of the tenant; `None` if the request has no known key.
    pub(super) tenant: Option<String>,
    /// The client-supplied request id.
    pub(super) id: Option<String>,
    /// The client's remaining time, limited by the timeout of the route.
    pub(super) timeout: Duration,
    /// Maximum size of the body, in bytes.
    pub(super) max_body_bytes: u64,
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Checks a head against the active configuration.
    pub(super) fn authorize(&self, head: &Parts) -> Result<AuthorizedRequest, Rejection> {
        if self.version() == 0 {
            return Err(Rejection::NotConfigured);
        }
        if SINGLE_HEADERS.iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
            return Err(Rejection::DuplicateHeader);
        }
        let configuration = self.configuration();
        let route = route::find(&configuration, head).ok_or(Rejection::NoRoute)?;
        let tenant = bearer_key(head).and_then(|key| configuration.routes.tenant(key));
        if configuration.requires_key && !route.public && tenant.is_none() {
            return Err(Rejection::UnknownKey);
        }
        let id = request_id(head);
        Ok(AuthorizedRequest {
            service: service_of(route, id).to_owned(),
            tenant: tenant.map(|tenant| tenant.name.clone()),
            id: id.map(str::to_owned),
            timeout: timeout(head, route.timeout_s),
            max_body_bytes: configuration.max_body_bytes,
        })
    }
}

/// The value of a header; `None` if it is missing or not text.
pub(super) fn header<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

fn bearer_key(head: &Parts) -> Option<&str> {
    let (scheme, key) = header(head, &AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn request_id(head: &Parts) -> Option<&str> {
    let id = header(head, &REQUEST_ID)?.trim();
    (!id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES).then_some(id)
}

/// The client's remaining time minus [`TRANSIT_RESERVE`], limited by the timeout of the route.
fn timeout(head: &Parts, route_timeout_s: f64) -> Duration {
    let route_timeout = Duration::try_from_secs_f64(route_timeout_s).unwrap_or(TRANSIT_RESERVE);
    let time_left = header(head, &TIME_LEFT_MS)
        .and_then(|text| text.trim().parse::<f64>().ok())
        .and_then(|millis| Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).ok());
    time_left.map_or(route_timeout, |left| left.saturating_sub(TRANSIT_RESERVE).min(route_timeout))
}
