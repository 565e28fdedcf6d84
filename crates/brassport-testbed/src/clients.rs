//! Clients, and the platform that leads them to doors.

use crate::configuration::HOST;
use crate::header::{SERVER_SEAL, TIME_LEFT, TRY_ID, WORK};
use crate::history::{Asked, Ending, Journal, Outcome, Try};
use crate::http::{self, Answer, Connection, Failure};
use crate::site::is_ready;
use oorandom::Rand32;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// How long a client waits for a request, tries and all.
const DEADLINE: Duration = Duration::from_secs(2);
/// How long a new connection is waited for.
const TO_CONNECT: Duration = Duration::from_secs(1);
/// How long an answer to a try that may be repeated is waited for.
const SAFE_TRY: Duration = Duration::from_millis(900);
/// Most tries of a request.
const TRIES: usize = 5;

/// The platform: asks each second which doors are ready, and leads new connections there.
pub struct Platform {
    fronts: Vec<SocketAddrV4>,
    is_in: RefCell<Vec<bool>>,
    asking: RefCell<Vec<JoinHandle<()>>>,
}

impl Platform {
    /// Begins to ask these doors: `ready` address and `front` address.
    pub fn watch(doors: &[(SocketAddrV4, SocketAddrV4)]) -> Rc<Platform> {
        let platform = Rc::new(Platform {
            fronts: doors.iter().map(|(_, front)| *front).collect(),
            is_in: RefCell::new(vec![false; doors.len()]),
            asking: RefCell::default(),
        });
        for (door, (ready, _)) in doors.iter().copied().enumerate() {
            let weak = Rc::downgrade(&platform);
            let asking = spawn_local(async move {
                let mut misses = 0;
                loop {
                    let is_ready = is_ready(ready).await;
                    misses = if is_ready { 0 } else { misses + 1 };
                    let Some(platform) = weak.upgrade() else { return };
                    if is_ready || misses >= 2 {
                        platform.is_in.borrow_mut()[door] = is_ready;
                    }
                    drop(platform);
                    sleep(Duration::from_secs(1)).await;
                }
            });
            platform.asking.borrow_mut().push(asking);
        }
        platform
    }

    /// Whether a door receives clients.
    pub fn is_in(&self, door: usize) -> bool {
        self.is_in.borrow()[door]
    }

    /// How many doors receive clients.
    pub fn count_in(&self) -> usize {
        self.is_in.borrow().iter().filter(|is_in| **is_in).count()
    }

    /// The door of a new connection: one of those that are in, or any if none is.
    fn front(&self, point: u32) -> SocketAddrV4 {
        let is_in = self.is_in.borrow();
        let all = self.fronts.iter().zip(is_in.iter());
        let mut doors: Vec<SocketAddrV4> = all.filter(|(_, is_in)| **is_in).map(|(at, _)| *at).collect();
        if doors.is_empty() {
            doors.clone_from(&self.fronts);
        }
        doors[point as usize % doors.len()]
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.asking.borrow().iter().for_each(JoinHandle::abort);
    }
}

/// What a client asks for.
#[derive(Debug, Clone)]
pub struct Wish {
    /// The beginning of the paths.
    pub path_start: String,
    /// Whether the route is safe.
    pub is_safe: bool,
    /// Tenant and key.
    pub tenant: Option<(String, String)>,
    /// Whether the request should be served: within the quota, and with a key where one is needed.
    pub is_due: bool,
    /// How long the backend is to work, if not as long as it does by itself.
    pub work: Option<Duration>,
    /// When the client leaves, if it does not wait.
    pub leaves_after: Option<Duration>,
}

/// One client with one connection at a time.
pub struct Client {
    platform: Rc<Platform>,
    journal: Rc<Journal>,
    random: Rand32,
    connection: Option<Connection>,
    /// Always this door, as those who look which configuration is in force.
    pub only: Option<SocketAddrV4>,
}

/// What a client does behind a try.
enum Next {
    Done(Ending),
    Again(Duration, Ending),
}

impl Client {
    /// A client; the number tells its way through its choices.
    pub fn new(number: u64, platform: Rc<Platform>, journal: Rc<Journal>) -> Client {
        Client { platform, journal, random: Rand32::new(number), connection: None, only: None }
    }

    /// Makes a request with as many tries as it takes, and notes it.
    pub async fn ask(&mut self, wish: &Wish) -> Ending {
        let since = Instant::now();
        let path = format!("{}{:x}", wish.path_start, self.random.rand_u32() & 0xffff);
        let mut ending = Ending::Failed("no time".into());
        for _ in 0..TRIES {
            let left = DEADLINE.saturating_sub(since.elapsed());
            if left < Duration::from_millis(20) {
                break;
            }
            match self.attempt(wish, &path, left).await {
                Next::Done(at_last) => {
                    ending = at_last;
                    break;
                }
                Next::Again(pause, so_far) => {
                    ending = so_far;
                    sleep(pause.min(left / 3)).await;
                }
            }
        }
        let asked = Asked { is_due: wish.is_due, ending: ending.clone() };
        self.journal.note(|history| history.asked.push(asked));
        ending
    }

    async fn attempt(&mut self, wish: &Wish, path: &str, left: Duration) -> Next {
        let kept = self.connection.take().filter(Connection::is_open);
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                let door = self.only.unwrap_or_else(|| self.platform.front(self.random.rand_u32()));
                match Connection::open(door, TO_CONNECT.min(left)).await {
                    Ok(connection) => connection,
                    Err(failure) => {
                        let ending = Ending::Failed(failure.to_string());
                        return Next::Again(Duration::from_millis(30), ending);
                    }
                }
            }
        };
        let id = self.journal.new_id();
        let time_left = left.as_millis().to_string();
        let bearer = wish.tenant.as_ref().map(|(_, key)| format!("Bearer {key}"));
        let mut headers = vec![(TRY_ID, id.as_str()), (TIME_LEFT, time_left.as_str())];
        headers.extend(bearer.as_deref().map(|bearer| ("authorization", bearer)));
        let work = wish.work.map(|work| work.as_millis().to_string());
        headers.extend(work.as_deref().map(|work| (WORK, work)));
        let (method, body) =
            if wish.is_safe { ("GET", Vec::new()) } else { ("POST", format!("order {id}").into_bytes()) };
        let request = http::request(method, path, HOST, &headers, body.clone());
        let sent = Try {
            id: id.clone(),
            tenant: wish.tenant.as_ref().map(|(name, _)| name.clone()),
            host: HOST.into(),
            path: path.into(),
            is_safe: wish.is_safe,
            door: connection.door(),
            sent: self.journal.now(),
            ended: None,
        };
        let place = self.journal.note(|history| {
            history.tries.push(sent);
            history.tries.len() - 1
        });
        let patience =
            if wish.is_safe { left.min(SAFE_TRY.max(wish.work.unwrap_or_default() * 2)) } else { left };
        let patience = wish.leaves_after.map_or(patience, |after| after.min(patience));
        let came = connection.send(request, patience).await;
        let now = self.journal.now();
        let outcome = match &came {
            Ok(answer) => Outcome::Answer {
                status: answer.status,
                seal: answer.header(SERVER_SEAL).map(str::to_owned),
                id: answer.header(TRY_ID).map(str::to_owned),
                is_whole: answer.body.strip_prefix(format!("{id}\n").as_bytes()) == Some(&body[..]),
            },
            Err(failure) => Outcome::Failed(*failure),
        };
        self.journal.note(|history| history.tries[place].ended = Some((now, outcome)));
        match came {
            Ok(answer) => {
                let next = judge(&answer, wish.is_safe);
                let closes = answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
                // A further try takes a new connection.
                if !closes && matches!(next, Next::Done(_)) {
                    self.connection = Some(connection);
                }
                next
            }
            Err(failure) => {
                let ending = Ending::Failed(failure.to_string());
                if wish.leaves_after.is_some() {
                    Next::Done(ending)
                } else if wish.is_safe || failure == Failure::NotRead {
                    Next::Again(Duration::from_millis(20), ending)
                } else {
                    Next::Done(ending)
                }
            }
        }
    }
}

/// What an answer means to a client.
fn judge(answer: &Answer, is_safe: bool) -> Next {
    let refused = Ending::Refused(answer.status);
    match answer.status {
        200..=299 if answer.header(SERVER_SEAL).is_some() => Next::Done(Ending::Served),
        200..=299 => Next::Done(Ending::Failed("no seal".into())),
        400 | 401 | 404 | 413 | 431 => Next::Done(refused),
        408 | 421 | 429 | 503 => {
            let wait = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.05);
            Next::Again(Duration::try_from_secs_f64(wait).unwrap_or_default(), refused)
        }
        status if is_safe => Next::Again(Duration::from_millis(20), Ending::Failed(status.to_string())),
        status => Next::Done(Ending::Failed(status.to_string())),
    }
}

/// A client that asks so many times a second until told to stop.
pub fn keep_asking(
    mut client: Client,
    per_s: f64,
    stop: Rc<Cell<bool>>,
    mut wish: impl FnMut(u32) -> Option<Wish> + 'static,
) -> JoinHandle<()> {
    spawn_local(async move {
        let gap = Duration::from_secs_f64(1.0 / per_s);
        // Not all at one moment.
        sleep(gap.mul_f32(client.random.rand_float())).await;
        while !stop.get() {
            let since = Instant::now();
            let point = client.random.rand_u32();
            if let Some(wish) = wish(point) {
                client.ask(&wish).await;
            }
            sleep(gap.saturating_sub(since.elapsed())).await;
        }
    })
}
