//! The clients' side: reads requests, checks them and writes the answers.

use crate::clock::Clock;
use crate::config::RequestDefaults;
use crate::date::DateHeader;
use crate::door::{Door, RequestOutcome};
use crate::mutants::mutant;
use crate::network::Network;
use crate::protocol::{AttemptEvent, AttemptObserver};
use crate::run::handover::links::{HandOver, Links};
use crate::run::metrics::Figures;
use crate::run::metrics::{Ended, Life};
use crate::run::terms::Terms;
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

/// A client's time runs from when it sent the request to when it has the whole answer: so much is kept back
/// for the way here and back.
const MARGIN: Duration = Duration::from_millis(4);
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;
/// Most bytes of a request's id.
const ID_LIMIT: usize = 128;
/// Headers that say what is asked.
const OURS: [&str; 7] = ["x-request-id", "x-class", "plan", "cookie", "x-deadline", "quota-info", "x-retry"];
/// Headers of this front door's own business, which go no further.
const OWN: [HeaderName; 2] = [HeaderName::from_static("usage-percent"), HeaderName::from_static("x-load")];

/// What every connection needs.
pub struct Context<C: Clock, N: Network> {
    pub clock: C,
    pub door: Rc<Door<C, N>>,
    pub backends: Rc<UpstreamPool<C, N>>,
    pub request_defaults: Option<RequestDefaults>,
    pub terms: RefCell<Rc<Terms>>,
    pub shutdown: Rc<Shutdown>,
    pub date: DateHeader,
    /// All connections of clients.
    pub connections: Rc<ConnectionRegistry<C>>,
    /// Bytes that the bodies in flight may still take, all together.
    pub bodies: Semaphore,
    pub figures: Rc<Figures>,
    pub links: Rc<Links>,
}

impl<C: Clock, N: Network> Context<C, N> {
    /// What is in force now; a request goes by what was when its head had come.
    pub fn terms(&self) -> Rc<Terms> {
        self.terms.borrow().clone()
    }
}

impl<C: Clock, N: Network> DownstreamService for Context<C, N> {
    type Clock = C;
    type Network = N;
    type RequestContext = Option<Life>;

    fn clock(&self) -> &C {
        &self.clock
    }

    fn connections(&self) -> &Rc<ConnectionRegistry<C>> {
        &self.connections
    }

    fn date(&self) -> &DateHeader {
        &self.date
    }

    fn on_request(&self, request: &Request<Incoming>) -> Option<Life> {
        life(self, request)
    }

    fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<C>,
        life: &Option<Life>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Response<ResponseBody>>> {
        answer(self, request, client, life)
    }

    fn overload_response(&self) -> Response<ResponseBody> {
        refusal(self.terms().settings().max_retry_after)
    }

    fn on_response(life: &Option<Life>, status: StatusCode) {
        if let Some(life) = life {
            life.end(Ended::from(status));
        }
    }

    fn on_stream_end(life: &Option<Life>, whole: bool) {
        if let Some(life) = life {
            life.end(if whole { Ended::Completed } else { Ended::Failed });
        }
    }

    fn evict_idle(&self) -> bool {
        self.backends.evict_idle()
    }

    fn is_serving(&self) -> bool {
        self.shutdown.phase() == Phase::Serving && !self.links.is_given()
    }

    fn closing(&self) -> impl Future<Output = ()> {
        self.shutdown.closing()
    }

    fn is_accepting(&self) -> bool {
        self.links.state() == HandOver::Not
    }

    // Whoever holds the place accepts.
    fn until_accepting(&self, accepts: bool) -> impl Future<Output = ()> {
        self.links.until(move |state| (state == HandOver::Not) == accepts)
    }

    fn is_handed_over(&self) -> bool {
        self.links.is_given()
    }

    fn handed_over(&self) -> impl Future<Output = ()> {
        self.links.until(|state| state == HandOver::Given)
    }

    fn hand_over(&self, socket: OwnedFd, read: Bytes, asked: u32) {
        self.links.hand_client(socket, read, asked);
    }
}

/// The answer to a request; an error if its connection must not be used again.
async fn answer<C: Clock, N: Network>(
    context: &Context<C, N>,
    request: Request<Incoming>,
    client: &DownstreamConnection<C>,
    life: &Option<Life>,
) -> Result<Response<ResponseBody>, Response<ResponseBody>> {
    if has_ambiguous_length(request.headers(), client) {
        return Err(plain_text(StatusCode::BAD_REQUEST, "Transfer-Encoding beside something else"));
    }
    if request.method() == Method::GET && request.uri().path() == "/healthz" {
        let serves = context.shutdown.phase() == Phase::Serving && context.door.may_act().is_ok();
        let up = serves && context.backends.any_ready();
        return Ok(plain_text(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""));
    }
    let (head, mut body) = request.into_parts();
    let terms = context.terms();
    let asked =
        check(&head, context, &terms).map_err(|problem| plain_text(StatusCode::BAD_REQUEST, problem))?;
    // Guards against bodies that fill the memory: what may be held is set aside before the first byte.
    let most = body
        .size_hint()
        .upper()
        .map_or(MAX_BUFFERED_BYTES, |most| most.min(MAX_BUFFERED_BYTES as u64) as usize);
    let most_wait = terms.settings().max_retry_after;
    let room = context.bodies.try_acquire_many(most as u32);
    let room = room.map_err(|_| refusal(most_wait))?;
    let _room = if mutant!(LeakBody) {
        room.forget();
        None
    } else {
        Some(room)
    };
    let mut data_rate = DataRateMonitor::new(client.request_age());
    let read = match read_body(&context.clock, &mut body, &mut data_rate).await {
        Ok(read) => read,
        Err(ReadError::Incomplete) => return Err(plain_text(StatusCode::BAD_REQUEST, "the body is broken")),
        Err(ReadError::TooLong) => {
            return Err(plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Err(ReadError::TooSlow) => {
            return Err(plain_text(StatusCode::REQUEST_TIMEOUT, "the body did not come"))
        }
    };
    let patience = if mutant!(ForgetDeadline) { Duration::from_secs(3600) } else { asked.patience };
    let patience = patience.saturating_sub(MARGIN);
    let (body, progress) = match read {
        ReadBody::Complete(bytes) => (RequestBody::Complete(bytes), None),
        ReadBody::Partial(first) => {
            let (upload, progress) = Upload::new(context.clock.clone(), first, body, data_rate);
            let body = RefCell::new(Some(UpstreamBody::Streaming(Box::pin(upload))));
            (
                RequestBody::Streaming(StreamingUpload {
                    body,
                    progress: progress.clone(),
                    client_timeout: patience,
                }),
                Some(progress),
            )
        }
    };
    if let (Some(life), None) = (&life, &progress) {
        life.taken();
    }
    // Guards against rules for its repeats that its client does not know: the class changed while the body came.
    let effect = |terms: &Terms| terms.settings().classes[asked.request.class].retry_safety;
    if effect(&terms) != effect(&context.terms()) {
        let refusal = refusal(most_wait);
        return if is_whole(&progress) { Ok(refusal) } else { Err(refusal) };
    }
    if let Err(wait) = context.door.may_act() {
        let refusal = out_of_service(wait);
        return if is_whole(&progress) { Ok(refusal) } else { Err(refusal) };
    }
    let message = UpstreamRequest {
        method: head.method,
        uri: asked.uri,
        headers: forwarded_headers(head.headers, &OWN, &[]),
        body,
    };
    let Some(pending) = context.door.admit(asked.request, asked.id, message, patience) else {
        return Err(plain_text(StatusCode::CONFLICT, "a request of this id is open"));
    };
    if let Some(progress) = &progress {
        let (begins, taken) = (pending.completion_callback(), life.as_ref().map(Life::at_taken));
        let figures = context.figures.clone();
        progress.on_complete(move || {
            figures.on_attempt(AttemptEvent::Written);
            taken.into_iter().for_each(|taken| taken());
            begins();
        });
    }
    let response = match pending.outcome().await {
        RequestOutcome::Served(served) => {
            let (head, body) = served.into_parts();
            let mut response = Response::new(body);
            *response.headers_mut() = forwarded_headers(head.headers, &OWN, &[]);
            response
        }
        RequestOutcome::Rejected(wait) => refusal(wait),
        RequestOutcome::Failed if mutant!(RefuseAfterMayHaveRun) => refusal(0.0),
        RequestOutcome::Failed => plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer of a backend"),
    };
    if is_whole(&progress) {
        Ok(response)
    } else {
        Err(response)
    }
}

/// Whether all of a request has come. An answer before that is the last on its connection: the rest of the body follows.
fn is_whole(progress: &Option<Rc<UploadProgress>>) -> bool {
    progress.as_ref().is_none_or(|progress| progress.completed_at().is_some())
}

/// The request for the figures, if it is of a class.
fn life<C: Clock, N: Network>(context: &Context<C, N>, request: &Request<Incoming>) -> Option<Life> {
    let class = class_named(request.headers(), request.uri().path(), context.request_defaults.is_some())?;
    context.terms().class(class).map(|_| context.figures.request(class))
}

/// The class that a request names: by its header, or, where that may be missing, by the first part of its path.
fn class_named<'a>(headers: &'a HeaderMap, path: &'a str, by_path: bool) -> Option<&'a str> {
    let named = headers.get("x-class").and_then(|value| value.to_str().ok()).map(str::trim);
    named.or_else(|| path.split('/').nth(1).filter(|_| by_path))
}

/// A refusal, with advice on when to come back if there is any, in milliseconds.
fn refusal(wait: f64) -> Response<ResponseBody> {
    retry_later(StatusCode::TOO_MANY_REQUESTS, wait)
}

/// The refusal of a door that may not act: it is the door that is out, not its client that asks for too much.
fn out_of_service(wait: f64) -> Response<ResponseBody> {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, wait)
}

/// A request that makes sense.
struct Asked {
    id: String,
    request: brassport_policy::Request,
    patience: Duration,
    uri: hyper::Uri,
}

/// Guards against malformed input: what does not make sense goes no further.
fn check<C: Clock, N: Network>(
    head: &Parts,
    context: &Context<C, N>,
    terms: &Terms,
) -> Result<Asked, &'static str> {
    // Guards against headers that contradict each other: whoever reads on might go by the other one.
    if OURS.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
        return Err("a header stands there twice");
    }
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let defaults = context.request_defaults;
    let id = match field("x-request-id") {
        // A name of its own, that no client's can be: `~` is not in their alphabet.
        None if defaults.is_some() && head.method == Method::GET => Some(context.door.generate_id()),
        id => id.and_then(named),
    };
    let id = id.ok_or("X-Request-Id is missing or no id")?;
    let segment = head.uri.path().split('/').nth(1);
    let class = class_named(&head.headers, head.uri.path(), defaults.is_some());
    if segment != class {
        return Err("the path does not begin with the class");
    }
    let class = class.and_then(|name| terms.class(name)).ok_or("X-Class names no class")?;
    let settings = terms.settings();
    // The method follows from the class: a request that may be sent again must be one that says so itself.
    if (settings.classes[class].retry_safety == RetrySafety::Idempotent) != (head.method == Method::GET) {
        return Err("the method is not the class's");
    }
    let customer = field("cookie").and_then(customer).ok_or("the cookie names no client")?;
    let plan = match (context.door.plan_of(customer), field("plan"), defaults) {
        (Some(plan), _, _) | (None, None, Some(RequestDefaults { plan })) => Some(plan),
        (None, name, _) => name.and_then(|name| terms.plan(name)),
    };
    let plan = plan.ok_or("Plan names no plan")?;
    let most = Duration::from_secs_f64(settings.classes[class].deadline / 1000.0);
    let patience = match field("x-deadline") {
        None if defaults.is_some() => Some(most),
        text => text.and_then(span),
    };
    let patience = patience.ok_or("X-Deadline is no length of time")?.min(most);
    let quota = match field("quota-info") {
        None if defaults.is_some() => Some((1.0, 1, settings.ordinal)),
        text => text.and_then(|text| quota(text, settings)),
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
    Ok(Asked { id, request, patience, uri: target.clone().into() })
}

/// A client's name for a request, if it is one.
fn named(id: &str) -> Option<String> {
    let known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    ((1..=ID_LIMIT).contains(&id.len()) && id.bytes().all(known)).then(|| id.to_string())
}

fn customer(cookies: &str) -> Option<u64> {
    let mut clients = cookies.split(';').filter_map(|cookie| cookie.trim().strip_prefix("client="));
    let digits = clients.next()?;
    if clients.next().is_some()
        || digits.len() != 16
        || !digits.bytes().all(|digit| digit.is_ascii_hexdigit())
    {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().filter(|customer| *customer < CUSTOMERS)
}

/// A number and its unit: milliseconds or microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, in_second) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let number = number.parse::<f64>().ok().filter(|number| *number > 0.0)?;
    Duration::try_from_secs_f64(number / in_second).ok()
}

/// The units, the number of front doors in the customer's set and the first of them.
fn quota(text: &str, settings: &Settings) -> Option<(f64, u32, u32)> {
    let value = |name: &str| {
        text.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let units = value("units")?.parse::<f64>().ok()?;
    let spread = value("spread")?.parse::<u32>().ok()?;
    let first = value("first")?.parse::<u32>().ok()?;
    let sensible = units > 0.0
        && units <= settings.max_units
        && (1..=settings.gateways).contains(&spread)
        && first < settings.gateways;
    sensible.then_some((units, spread, first))
}
