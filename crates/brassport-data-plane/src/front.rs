//! One request of a client: its route, its tenant, its service; then it is the door's.

use crate::service::DataPlane;
use crate::shares::NOBODY;
use crate::wire::{CUSTOMER, EXPECT_SERVER, TIME_LEFT, TRY_ID};
use brassport_config_store::configuration::Route;
use brassport_proxy::answers::{come_back, is_ambiguous, pass_on, text};
use brassport_proxy::backends::{Carried, Message, Uploading};
use brassport_proxy::bodies::pace::Pace;
use brassport_proxy::bodies::upload::{Progress, Upload};
use brassport_proxy::bodies::{read, Answer, Outgoing, Problem, Read};
use brassport_proxy::clients::{self, Service};
use brassport_proxy::clock::Clock;
use brassport_proxy::connections::{ClientConnection, Connections};
use brassport_proxy::date::DateHeader;
use brassport_proxy::door::Answer as Verdict;
use brassport_proxy::network::Network;
use brassport_proxy::shutdown::{Phase, Shutdown};
use brassport_types::{fnv1a_32, TenantId};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A client's time runs from when it sent the request to when it has the whole answer: so much is kept back for the way
/// here and back.
const MARGIN: Duration = Duration::from_millis(8);
/// Most bytes of a try's id.
const ID_LIMIT: usize = 128;
/// Advice on waiting, in milliseconds, where nothing better is known, and where this door has yet to hear what all know.
const COME_BACK: f64 = 150.0;
const NOT_YET: f64 = 600.0;
/// A door that began so lately hears of more backends from one moment to the next: where it has no room yet, it advises to
/// wait for so long at most.
const YOUNG: brassport_quota::Millis = 1_500;
const SOON: f64 = 300.0;
/// Headers that only the system may set, or see.
const OWN: [HeaderName; 3] = [header::AUTHORIZATION, CUSTOMER, EXPECT_SERVER];
/// What a client can't take out by naming it a connection's own.
const KEPT: [HeaderName; 2] = [TRY_ID, TIME_LEFT];

/// A request that makes sense and is allowed.
struct Asked {
    /// Its service, and the place of its class there.
    service: String,
    /// The tenant's name, if it has one.
    tenant: Option<String>,
    /// Its client's name for the try.
    id: Option<String>,
    patience: Duration,
    /// Bytes that its body may have.
    most: u64,
}

/// The clients' side of a door.
struct Front<C: Clock, N: Network> {
    data_plane: Rc<DataPlane<C, N>>,
    shutdown: Rc<Shutdown>,
    connections: Rc<Connections<C>>,
    date: DateHeader,
}

/// Serves clients until the shutdown closes the door, then returns once every connection has ended.
pub async fn serve<C: Clock, N: Network>(
    listener: N::Listener,
    data_plane: Rc<DataPlane<C, N>>,
    shutdown: Rc<Shutdown>,
) {
    let (descriptors, in_all) = (data_plane.descriptors.clone(), data_plane.descriptors.available_permits());
    let connections = Rc::new(Connections::new(data_plane.clock.clone()));
    let front = Rc::new(Front { data_plane, shutdown, connections, date: DateHeader::default() });
    // Nobody hands clients over here: the sender is kept, so that the queue stays open and empty.
    let (_nobody, adopted) = mpsc::unbounded_channel();
    clients::serve(Rc::new(listener), front, descriptors, in_all, adopted).await;
}

impl<C: Clock, N: Network> Service for Front<C, N> {
    type Clock = C;
    type Network = N;
    type Life = ();

    fn clock(&self) -> &C {
        &self.data_plane.clock
    }

    fn connections(&self) -> &Rc<Connections<C>> {
        &self.connections
    }

    fn date(&self) -> &DateHeader {
        &self.date
    }

    fn begin(&self, _: &Request<Incoming>) {}

    async fn answer(&self, request: Request<Incoming>, client: &ClientConnection<C>, (): &()) -> Answered {
        self.data_plane.answer(request, client).await
    }

    fn turn_away(&self) -> Response<Answer> {
        come_back(StatusCode::SERVICE_UNAVAILABLE, COME_BACK)
    }

    fn answered((): &(), _: StatusCode) {}

    fn passed((): &(), _: bool) {}

    fn shed_idle(&self) -> bool {
        self.data_plane.shed_idle()
    }

    fn serves(&self) -> bool {
        self.shutdown.phase() == Phase::Serving
    }

    async fn closing(&self) {
        self.shutdown.closing().await;
    }
}

/// What a request is answered with, or last answered with on its connection.
pub type Answered = Result<Response<Answer>, Response<Answer>>;

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Answers a request; an error if its connection must not be used again.
    ///
    /// # Errors
    /// The answer, where more of the request may still come, or what came can't be trusted.
    pub async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &ClientConnection<C>,
    ) -> Answered {
        if is_ambiguous(request.headers(), client) {
            return Err(text(StatusCode::BAD_REQUEST, "Transfer-Encoding beside something else"));
        }
        let (head, mut body) = request.into_parts();
        // What is refused by its head alone is so behind its body, if that is short: the connection stays of use.
        let asked = self.check(&head);
        let length = body.size_hint();
        let most = asked.as_ref().map_or(0, |asked| asked.most);
        if asked.is_ok() && length.lower() > most {
            return Err(text(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than the limits allow"));
        }
        let mut pace = Pace::new(client.waited());
        let read = match read(&self.clock, &mut body, &mut pace).await {
            Ok(read) => read,
            Err(Problem::Broken) => return Err(text(StatusCode::BAD_REQUEST, "the body is broken")),
            Err(Problem::TooLong) => return Err(text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")),
            Err(Problem::TooSlow) => return Err(text(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        };
        let asked = match asked {
            Ok(asked) => asked,
            Err(response) => {
                return if matches!(read, Read::Whole(_)) { Ok(*response) } else { Err(*response) }
            }
        };
        let (body, progress) = match read {
            Read::Whole(bytes) => (Carried::Whole(bytes), None),
            Read::Long(first) => {
                let (upload, progress) = Upload::new(self.clock.clone(), first, body, pace);
                let body = RefCell::new(Some(Outgoing::Coming(Box::pin(upload))));
                let upload = Uploading { body, progress: progress.clone(), patience: asked.patience };
                (Carried::Coming(upload), Some(progress))
            }
        };
        let response = self.serve(head, asked, body, progress.clone()).await;
        // An answer before all of the request has come is the last on its connection.
        if progress.is_none_or(|progress| progress.whole().is_some()) {
            Ok(response)
        } else {
            Err(response)
        }
    }

    /// Looks a request up: its route, its key, what it says of itself.
    fn check(&self, head: &Parts) -> Result<Asked, Box<Response<Answer>>> {
        if self.version() == 0 {
            return Err(come_back(StatusCode::SERVICE_UNAVAILABLE, NOT_YET).into());
        }
        let field = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        for name in [&TRY_ID, &TIME_LEFT, &header::HOST, &header::AUTHORIZATION] {
            if head.headers.get_all(name).iter().nth(1).is_some() {
                return Err(text(StatusCode::BAD_REQUEST, "a header stands there twice").into());
            }
        }
        let index = self.index.borrow().clone();
        let host = field(&header::HOST).or_else(|| head.uri.host()).unwrap_or_default();
        let Some(route) = index.route(host, head.uri.path()) else {
            return Err(text(StatusCode::NOT_FOUND, "no route leads there").into());
        };
        let key = field(&header::AUTHORIZATION)
            .and_then(|text| text.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
            .map(|(_, key)| key.trim());
        let tenant = key.and_then(|key| index.tenant(key)).map(|tenant| tenant.name.clone());
        if self.has_keys.get() && !route.public && tenant.is_none() {
            return Err(text(StatusCode::UNAUTHORIZED, "the key is not known").into());
        }
        let id = field(&TRY_ID).map(str::trim).filter(|id| !id.is_empty() && id.len() <= ID_LIMIT);
        let give_up = Duration::try_from_secs_f64(route.timeout_s).unwrap_or(MARGIN);
        let left = field(&TIME_LEFT)
            .and_then(|text| text.trim().parse::<f64>().ok())
            .and_then(|millis| Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).ok());
        let patience = left.map_or(give_up, |left| left.saturating_sub(MARGIN).min(give_up));
        Ok(Asked {
            service: target(route, id.unwrap_or_default()).to_owned(),
            tenant,
            id: id.map(str::to_owned),
            patience,
            most: self.limits.borrow().max_body_bytes,
        })
    }

    async fn serve(
        self: &Rc<Self>,
        head: Parts,
        asked: Asked,
        body: Carried,
        progress: Option<Rc<Progress>>,
    ) -> Response<Answer> {
        let index = self.index.borrow().clone();
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        // Looked up again: the configuration may have changed while the body came.
        let Some(route) = index.route(host, head.uri.path()) else {
            return text(StatusCode::NOT_FOUND, "no route leads there");
        };
        let service = if route.targets.iter().any(|(name, _)| *name == asked.service) {
            asked.service
        } else {
            target(route, asked.id.as_deref().unwrap_or_default()).to_owned()
        };
        let Some(service) = self.service(&service) else {
            return come_back(StatusCode::SERVICE_UNAVAILABLE, NOT_YET);
        };
        let tenant = asked.tenant.as_deref().map_or(NOBODY, TenantId::of_name);
        let (class, plan) = {
            let terms = service.terms.borrow();
            (terms.class(route), asked.tenant.as_deref().map_or(0, |name| terms.plan(name)))
        };
        let Some(class) = class else {
            return come_back(StatusCode::SERVICE_UNAVAILABLE, NOT_YET);
        };
        if tenant != NOBODY {
            self.shares.offered(tenant);
        }
        // Each service's door is one of those that a tenant's requests come through.
        let spread = self.shares.slots().max(1);
        let request = brassport_policy::Request {
            id: 0,
            customer: u64::from(tenant.0),
            plan,
            class,
            units: 1.0,
            spread,
            first: 0,
            expires_in: 0.0,
            repeat: false,
        };
        let mut headers = pass_on(head.headers, &OWN, &KEPT);
        if let Some(name) = asked.tenant.as_deref().and_then(|name| HeaderValue::from_str(name).ok()) {
            headers.insert(CUSTOMER, name);
        }
        let uri = head.uri.path_and_query().and_then(|target| target.as_str().parse().ok());
        let message = Message { method: head.method, uri: uri.unwrap_or_default(), headers, body };
        let id = asked.id.unwrap_or_else(|| service.door.unnamed());
        let Some(ticket) = service.door.admit(request, id, message, asked.patience) else {
            return text(StatusCode::CONFLICT, "a request of this id is open");
        };
        if let Some(progress) = &progress {
            progress.at_whole(ticket.at_whole());
        }
        match ticket.answer().await {
            Verdict::Served(served) => {
                let (head, body) = served.into_parts();
                let mut response = Response::new(body);
                *response.status_mut() = head.status;
                *response.headers_mut() = pass_on(head.headers, &OWN, &KEPT);
                response
            }
            // Beyond the tenant's limit, or without room: neither has run.
            Verdict::Refused(wait) => {
                let status = if self.shares.is_over(tenant) {
                    StatusCode::TOO_MANY_REQUESTS
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                let wait = if self.shares.now() < YOUNG { wait.min(SOON) } else { wait };
                come_back(status, if wait > 0.0 { wait } else { COME_BACK })
            }
            Verdict::Failed => text(StatusCode::GATEWAY_TIMEOUT, "no answer of a backend"),
        }
    }
}

/// The service of a route that a try goes to: by its id, so that a split is kept over many.
fn target<'a>(route: &'a Route, id: &str) -> &'a str {
    let all: u64 = route.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut point = u64::from(fnv1a_32(id)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    point = (point * all.max(1)) >> 32;
    for (name, weight) in &route.targets {
        if point < u64::from(*weight) {
            return name;
        }
        point -= u64::from(*weight);
    }
    route.targets.first().map_or("", |(name, _)| name)
}
