//! Phase 1, by the head alone: whether a request makes sense and its client may send it.

use super::rejection::Rejection;
use super::route::{self, service_of};
use crate::backend_protocol::{REQUEST_ID, TIME_LEFT_MS};
use crate::data_plane::DataPlane;
use brassport_proxy::clock::Clock;
use brassport_proxy::network::Network;
use hyper::header::{HeaderName, AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use std::time::Duration;

/// A client's time runs from when it sends the request to when it has all of the response: so much is reserved for the way
/// here and back.
const TRANSIT_RESERVE: Duration = Duration::from_millis(8);
/// Most bytes of a request's id; a longer one is ignored.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Headers of which two would be read differently by gateway and backend.
const SINGLE_HEADERS: [HeaderName; 4] = [REQUEST_ID, TIME_LEFT_MS, HOST, AUTHORIZATION];

/// A request that makes sense and that its client may send.
#[derive(Debug)]
pub(super) struct AuthorizedRequest {
    /// The service that its id falls to.
    pub(super) service: String,
    /// The tenant's name, if it has one.
    pub(super) tenant: Option<String>,
    /// Its client's name for it.
    pub(super) id: Option<String>,
    /// How long its client waits.
    pub(super) timeout: Duration,
    /// The largest body that it may have.
    pub(super) max_body_bytes: u64,
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Checks a head against the configuration in force.
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

/// The value of a header that is text.
pub(super) fn field<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

fn bearer_key(head: &Parts) -> Option<&str> {
    let (scheme, key) = field(head, &AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn request_id(head: &Parts) -> Option<&str> {
    let id = field(head, &REQUEST_ID)?.trim();
    (!id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES).then_some(id)
}

/// The smaller of the route's time-out and what the client says is left.
fn timeout(head: &Parts, route_timeout_s: f64) -> Duration {
    let of_route = Duration::try_from_secs_f64(route_timeout_s).unwrap_or(TRANSIT_RESERVE);
    let left = field(head, &TIME_LEFT_MS)
        .and_then(|text| text.trim().parse::<f64>().ok())
        .and_then(|millis| Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).ok());
    left.map_or(of_route, |left| left.saturating_sub(TRANSIT_RESERVE).min(of_route))
}
