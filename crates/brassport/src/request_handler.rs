//! The downstream side: reads and validates the clients' requests, and responds to them.

use crate::clock::Clock;
use crate::config::RequestDefaults;
use crate::date::DateHeader;
use crate::gateway_core::{GatewayCore, RequestOutcome};
use crate::mutants::mutant;
use crate::network::Network;
use crate::protocol::{AttemptEvent, AttemptObserver};
use crate::run::active_settings::ActiveSettings;
use crate::run::handover::neighbors::{HandoverState, Neighbors};
use crate::run::metrics::Metrics;
use crate::run::metrics::{RequestResult, RequestTracker};
use crate::shutdown::{Phase, Shutdown};
use brassport_policy::{RetrySafety, Settings};
use brassport_proxy::body::data_rate::DataRateMonitor;
use brassport_proxy::body::upload::{Upload, UploadProgress};
use brassport_proxy::body::{read_body, ReadBody, ReadError, ResponseBody, UpstreamBody, MAX_BUFFERED_BYTES};
use brassport_proxy::downstream::DownstreamService;
use brassport_proxy::downstream::{ConnectionRegistry, DownstreamConnection};
use brassport_proxy::responses::{forwarded_headers, has_ambiguous_length, plain_text, retry_later};
use brassport_proxy::upstream::{RequestBody, StreamingUpload, UpstreamPool, UpstreamRequest};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::future::Future;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Subtracted from a client's timeout: the client counts from when it sent the request to when it has the complete
/// response, so the transit in both directions is part of it.
const CLIENT_TRANSIT_ALLOWANCE: Duration = Duration::from_millis(4);
/// Upper bound of customer ids, exclusive.
const CUSTOMER_ID_END: u64 = 1 << 33;
/// Maximum length of a request's id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Headers that the gateway interprets; each may occur at most once in a request.
const REQUEST_HEADERS: [&str; 7] =
    ["x-request-id", "x-class", "plan", "cookie", "x-deadline", "quota-info", "x-retry"];
/// Headers between the gateway and its backends, which are not forwarded in either direction.
const INTERNAL_HEADERS: [HeaderName; 2] =
    [HeaderName::from_static("usage-percent"), HeaderName::from_static("x-load")];

/// State shared by all client connections.
pub struct ServerContext<C: Clock, N: Network> {
    pub clock: C,
    pub core: Rc<GatewayCore<C, N>>,
    pub backends: Rc<UpstreamPool<C, N>>,
    pub request_defaults: Option<RequestDefaults>,
    pub active_settings: RefCell<Rc<ActiveSettings>>,
    pub shutdown: Rc<Shutdown>,
    pub date: DateHeader,
    pub connections: Rc<ConnectionRegistry<C>>,
    /// Bytes of memory that are free for request bodies, of all connections together.
    pub body_memory: Semaphore,
    pub metrics: Rc<Metrics>,
    pub neighbors: Rc<Neighbors>,
}

impl<C: Clock, N: Network> ServerContext<C, N> {
    /// The settings in force now. A request uses those in force when its head was complete.
    pub fn active_settings(&self) -> Rc<ActiveSettings> {
        self.active_settings.borrow().clone()
    }
}

impl<C: Clock, N: Network> DownstreamService for ServerContext<C, N> {
    type Clock = C;
    type Network = N;
    type RequestContext = Option<RequestTracker>;

    fn clock(&self) -> &C {
        &self.clock
    }

    fn connections(&self) -> &Rc<ConnectionRegistry<C>> {
        &self.connections
    }

    fn date(&self) -> &DateHeader {
        &self.date
    }

    fn on_request(&self, request: &Request<Incoming>) -> Option<RequestTracker> {
        track_request(self, request)
    }

    fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<C>,
        tracker: &Option<RequestTracker>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Response<ResponseBody>>> {
        respond(self, request, client, tracker)
    }

    fn overload_response(&self) -> Response<ResponseBody> {
        refusal(self.active_settings().settings().max_retry_after)
    }

    fn on_response(tracker: &Option<RequestTracker>, status: StatusCode) {
        if let Some(tracker) = tracker {
            tracker.finish(RequestResult::from(status));
        }
    }

    fn on_stream_end(tracker: &Option<RequestTracker>, whole: bool) {
        if let Some(tracker) = tracker {
            tracker.finish(if whole { RequestResult::Completed } else { RequestResult::Failed });
        }
    }

    fn evict_idle(&self) -> bool {
        self.backends.evict_idle()
    }

    fn is_serving(&self) -> bool {
        self.shutdown.phase() == Phase::Serving && !self.neighbors.is_complete()
    }

    fn closing(&self) -> impl Future<Output = ()> {
        self.shutdown.closing()
    }

    fn is_accepting(&self) -> bool {
        self.neighbors.state() == HandoverState::NotStarted
    }

    // Of the two processes of an upgrade, only the one that holds the listener's role accepts connections.
    fn until_accepting(&self, accepts: bool) -> impl Future<Output = ()> {
        self.neighbors.until(move |state| (state == HandoverState::NotStarted) == accepts)
    }

    fn is_handed_over(&self) -> bool {
        self.neighbors.is_complete()
    }

    fn handed_over(&self) -> impl Future<Output = ()> {
        self.neighbors.until(|state| state == HandoverState::Complete)
    }

    fn hand_over(&self, socket: OwnedFd, read: Bytes, request_count: u32) {
        self.neighbors.hand_over_client(socket, read, request_count);
    }
}

/// Responds to a request. `Err` holds a response after which the connection must be closed.
async fn respond<C: Clock, N: Network>(
    context: &ServerContext<C, N>,
    request: Request<Incoming>,
    client: &DownstreamConnection<C>,
    tracker: &Option<RequestTracker>,
) -> Result<Response<ResponseBody>, Response<ResponseBody>> {
    if has_ambiguous_length(request.headers(), client) {
        return Err(plain_text(StatusCode::BAD_REQUEST, "Transfer-Encoding beside something else"));
    }
    if request.method() == Method::GET && request.uri().path() == "/healthz" {
        let is_serving = context.shutdown.phase() == Phase::Serving && context.core.may_serve().is_ok();
        let is_healthy = is_serving && context.backends.any_ready();
        return Ok(plain_text(if is_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""));
    }
    let (head, mut body) = request.into_parts();
    let active_settings = context.active_settings();
    let parsed = parse_request(&head, context, &active_settings)
        .map_err(|problem| plain_text(StatusCode::BAD_REQUEST, problem))?;
    // The maximum buffer size is reserved before the first byte is read, so that bodies cannot exhaust the memory.
    let max_buffered = body
        .size_hint()
        .upper()
        .map_or(MAX_BUFFERED_BYTES, |length| length.min(MAX_BUFFERED_BYTES as u64) as usize);
    let max_retry_after = active_settings.settings().max_retry_after;
    let permit = context.body_memory.try_acquire_many(max_buffered as u32);
    let permit = permit.map_err(|_| refusal(max_retry_after))?;
    let _permit = if mutant!(LeakBody) {
        permit.forget();
        None
    } else {
        Some(permit)
    };
    let mut data_rate = DataRateMonitor::new(client.request_age());
    let buffered = match read_body(&context.clock, &mut body, &mut data_rate).await {
        Ok(buffered) => buffered,
        Err(ReadError::Incomplete) => return Err(plain_text(StatusCode::BAD_REQUEST, "the body is broken")),
        Err(ReadError::TooLong) => {
            return Err(plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Err(ReadError::TooSlow) => {
            return Err(plain_text(StatusCode::REQUEST_TIMEOUT, "the body did not come"))
        }
    };
    let client_timeout =
        if mutant!(ForgetDeadline) { Duration::from_secs(3600) } else { parsed.client_timeout };
    let client_timeout = client_timeout.saturating_sub(CLIENT_TRANSIT_ALLOWANCE);
    let (body, progress) = match buffered {
        ReadBody::Complete(bytes) => (RequestBody::Complete(bytes), None),
        ReadBody::Partial(first) => {
            let (upload, progress) = Upload::new(context.clock.clone(), first, body, data_rate);
            let body = RefCell::new(Some(UpstreamBody::Streaming(Box::pin(upload))));
            (
                RequestBody::Streaming(StreamingUpload { body, progress: progress.clone(), client_timeout }),
                Some(progress),
            )
        }
    };
    if let (Some(tracker), None) = (&tracker, &progress) {
        tracker.mark_received();
    }
    // Refused if a reload changed the class's retry safety while the body arrived: the client would not know the
    // rules for its retries.
    let retry_safety = |active_settings: &ActiveSettings| {
        active_settings.settings().classes[parsed.request.class].retry_safety
    };
    if retry_safety(&active_settings) != retry_safety(&context.active_settings()) {
        let refusal = refusal(max_retry_after);
        return if is_body_complete(&progress) { Ok(refusal) } else { Err(refusal) };
    }
    if let Err(wait_ms) = context.core.may_serve() {
        let refusal = unavailable(wait_ms);
        return if is_body_complete(&progress) { Ok(refusal) } else { Err(refusal) };
    }
    let message = UpstreamRequest {
        method: head.method,
        uri: parsed.uri,
        headers: forwarded_headers(head.headers, &INTERNAL_HEADERS, &[]),
        body,
    };
    let Some(pending) = context.core.admit(parsed.request, parsed.id, message, client_timeout) else {
        return Err(plain_text(StatusCode::CONFLICT, "a request of this id is open"));
    };
    if let Some(progress) = &progress {
        let (on_complete, on_received) =
            (pending.completion_callback(), tracker.as_ref().map(RequestTracker::received_callback));
        let metrics = context.metrics.clone();
        progress.on_complete(move || {
            metrics.on_attempt(AttemptEvent::Written);
            on_received.into_iter().for_each(|callback| callback());
            on_complete();
        });
    }
    let response = match pending.outcome().await {
        RequestOutcome::Served(served) => {
            let (head, body) = served.into_parts();
            let mut response = Response::new(body);
            *response.headers_mut() = forwarded_headers(head.headers, &INTERNAL_HEADERS, &[]);
            response
        }
        RequestOutcome::Rejected(wait_ms) => refusal(wait_ms),
        RequestOutcome::Failed if mutant!(RefuseAfterMayHaveRun) => refusal(0.0),
        RequestOutcome::Failed => plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer of a backend"),
    };
    if is_body_complete(&progress) {
        Ok(response)
    } else {
        Err(response)
    }
}

/// Whether the whole request was received. A response before that is the last on its connection, as the rest of the
/// body would follow.
fn is_body_complete(progress: &Option<Rc<UploadProgress>>) -> bool {
    progress.as_ref().is_none_or(|progress| progress.completed_at().is_some())
}

/// Starts counting a request in the metrics, if it names a known class.
fn track_request<C: Clock, N: Network>(
    context: &ServerContext<C, N>,
    request: &Request<Incoming>,
) -> Option<RequestTracker> {
    let class = class_name(request.headers(), request.uri().path(), context.request_defaults.is_some())?;
    context.active_settings().class(class).map(|_| context.metrics.start_request(class))
}

/// The class that a request names in its header or, if `by_path`, in the first segment of its path.
fn class_name<'a>(headers: &'a HeaderMap, path: &'a str, by_path: bool) -> Option<&'a str> {
    let by_header = headers.get("x-class").and_then(|value| value.to_str().ok()).map(str::trim);
    by_header.or_else(|| path.split('/').nth(1).filter(|_| by_path))
}

/// A 429 response, with `Retry-After` if `wait_ms` is above 0.
fn refusal(wait_ms: f64) -> Response<ResponseBody> {
    retry_later(StatusCode::TOO_MANY_REQUESTS, wait_ms)
}

/// The response while the hooks do not permit this gateway to serve: 503, not 429, as the client did nothing wrong.
fn unavailable(wait_ms: f64) -> Response<ResponseBody> {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, wait_ms)
}

/// A valid request.
struct ParsedRequest {
    id: String,
    request: brassport_policy::Request,
    client_timeout: Duration,
    uri: hyper::Uri,
}

/// Validates a request's head and the values of its headers. The error is the body of a 400 response.
fn parse_request<C: Clock, N: Network>(
    head: &Parts,
    context: &ServerContext<C, N>,
    active_settings: &ActiveSettings,
) -> Result<ParsedRequest, &'static str> {
    // A repeated header is rejected: a backend could use a different occurrence than the gateway did.
    if REQUEST_HEADERS.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
        return Err("a header stands there twice");
    }
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let defaults = context.request_defaults;
    let id = match field("x-request-id") {
        // A generated id cannot equal a client's: it contains `~`, which clients' ids must not.
        None if defaults.is_some() && head.method == Method::GET => Some(context.core.generate_id()),
        id => id.and_then(parse_request_id),
    };
    let id = id.ok_or("X-Request-Id is missing or no id")?;
    let segment = head.uri.path().split('/').nth(1);
    let class = class_name(&head.headers, head.uri.path(), defaults.is_some());
    if segment != class {
        return Err("the path does not begin with the class");
    }
    let class = class.and_then(|name| active_settings.class(name)).ok_or("X-Class names no class")?;
    let settings = active_settings.settings();
    // GET is required for idempotent classes and only permitted there, so that the method alone shows whether a
    // request may be retried.
    if (settings.classes[class].retry_safety == RetrySafety::Idempotent) != (head.method == Method::GET) {
        return Err("the method is not the class's");
    }
    let customer = field("cookie").and_then(parse_customer).ok_or("the cookie names no client")?;
    let plan = match (context.core.plan_override(customer), field("plan"), defaults) {
        (Some(plan), _, _) | (None, None, Some(RequestDefaults { plan })) => Some(plan),
        (None, name, _) => name.and_then(|name| active_settings.plan(name)),
    };
    let plan = plan.ok_or("Plan names no plan")?;
    let class_deadline = Duration::from_secs_f64(settings.classes[class].deadline / 1000.0);
    let client_timeout = match field("x-deadline") {
        None if defaults.is_some() => Some(class_deadline),
        text => text.and_then(parse_duration),
    };
    let client_timeout = client_timeout.ok_or("X-Deadline is no length of time")?.min(class_deadline);
    let quota = match field("quota-info") {
        None if defaults.is_some() => Some((1.0, 1, settings.ordinal)),
        text => text.and_then(|text| parse_quota(text, settings)),
    };
    let (units, spread, first) = quota.ok_or("Quota-Info makes no sense")?;
    let target = head.uri.path_and_query().ok_or("the request has no path")?;
    let request = brassport_policy::Request {
        id: 0,
        customer,
        plan,
        class,
        units,
        customer_gateways: spread,
        first_gateway: first,
        expires_in: 0.0,
        is_client_retry: field("x-retry") == Some("1"),
    };
    Ok(ParsedRequest { id, request, client_timeout, uri: target.clone().into() })
}

/// A client's request id, if it is valid: ASCII letters and digits, `-`, `_` and `.`.
fn parse_request_id(id: &str) -> Option<String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    ((1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(is_allowed)).then(|| id.to_string())
}

/// The customer's id: 16 hexadecimal digits in the cookie `client`, which must occur exactly once.
fn parse_customer(cookies: &str) -> Option<u64> {
    let mut clients = cookies.split(';').filter_map(|cookie| cookie.trim().strip_prefix("client="));
    let digits = clients.next()?;
    if clients.next().is_some()
        || digits.len() != 16
        || !digits.bytes().all(|digit| digit.is_ascii_hexdigit())
    {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().filter(|customer| *customer < CUSTOMER_ID_END)
}

/// A positive number with its unit: `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let (number, per_second) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let number = number.parse::<f64>().ok().filter(|number| *number > 0.0)?;
    Duration::try_from_secs_f64(number / per_second).ok()
}

/// The request's units, the number of gateway instances in the customer's set and the ordinal of the first of them.
fn parse_quota(text: &str, settings: &Settings) -> Option<(f64, u32, u32)> {
    let value = |name: &str| {
        text.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let units = value("units")?.parse::<f64>().ok()?;
    let spread = value("spread")?.parse::<u32>().ok()?;
    let first = value("first")?.parse::<u32>().ok()?;
    let is_valid = units > 0.0
        && units <= settings.max_units
        && (1..=settings.gateways).contains(&spread)
        && first < settings.gateways;
    is_valid.then_some((units, spread, first))
}
