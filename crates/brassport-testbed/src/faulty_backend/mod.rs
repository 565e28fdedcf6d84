//! A backend that misbehaves in the ways that the protocol allows: it loses connections while it runs a request, breaks
//! off its responses, and sends surplus bytes. Each request names its [`Fault`] in a header of the stand-ins' own.
//!
//! It writes its responses to the socket itself, as a library would not write most of them. A response states that the
//! request has not run only if it has not: what the backend runs it records as a [`Run`].

mod fault;

pub use fault::Fault;

use crate::header::{CUSTOMER, FAULT, NOT_RUN, SERVER_ID, SERVER_SEAL, TRY_ID};
use crate::heartbeat::{Heartbeats, Registration};
use crate::history::{Recorder, Run};
use rustix::net::sockopt::set_socket_linger;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::sleep;

/// How long each request runs.
const WORK: Duration = Duration::from_millis(3);
/// How long after a complete response the surplus copy of it follows.
const SURPLUS_DELAY: Duration = Duration::from_millis(1);
/// How long a silent backend keeps its connection open.
const SILENCE: Duration = Duration::from_secs(4);

/// A backend in this process. Dropped, it crashes.
#[derive(Debug)]
pub struct FaultyBackend {
    server: JoinHandle<()>,
    heartbeat_task: JoinHandle<()>,
}

impl Drop for FaultyBackend {
    fn drop(&mut self) {
        self.server.abort();
        self.heartbeat_task.abort();
    }
}

impl FaultyBackend {
    /// Starts an incarnation for a service, which registers with the nodes at these addresses.
    ///
    /// # Errors
    /// No port is to be had.
    pub async fn start(
        service: &str,
        zone: &str,
        controls: Vec<SocketAddrV4>,
        recorder: Rc<Recorder>,
    ) -> io::Result<FaultyBackend> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let number = recorder.new_id();
        let registration = Registration {
            id: format!("i-{}", &number[8..]),
            service: service.into(),
            zone: zone.into(),
            capacity: 64,
            address,
        };
        let handler = Rc::new(Handler {
            id: registration.id.clone(),
            service: service.into(),
            recorder,
            runs: Cell::new(0),
            rejected: RefCell::default(),
        });
        let heartbeats = Heartbeats::new(registration, controls);
        Ok(FaultyBackend {
            server: spawn_local(serve(listener, handler)),
            heartbeat_task: spawn_local(async move { heartbeats.run().await }),
        })
    }
}

async fn serve(listener: TcpListener, handler: Rc<Handler>) {
    // Dropped with this task, so that a crash closes them all.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        while connections.try_join_next().is_some() {}
        let mut connection =
            Connection { stream: BufReader::new(stream), handler: handler.clone(), surplus: Vec::new() };
        connections.spawn_local(async move {
            // The gateway may close it at any time.
            while let Ok(Next::Request) = connection.serve_one().await {}
        });
    }
}

/// What all connections share.
struct Handler {
    id: String,
    service: String,
    recorder: Rc<Recorder>,
    runs: Cell<u64>,
    /// The ids of attempts that were rejected once.
    rejected: RefCell<HashSet<String>>,
}

/// A request's head.
struct Head {
    path: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(one, _)| one == name).map(|(_, value)| value.as_str())
    }
}

/// Whether a connection takes another request.
enum Next {
    Request,
    Closed,
}

/// One connection of the gateway.
struct Connection {
    stream: BufReader<TcpStream>,
    handler: Rc<Handler>,
    /// Sent in the place of the next response.
    surplus: Vec<u8>,
}

impl Connection {
    async fn serve_one(&mut self) -> io::Result<Next> {
        let Some(head) = self.read_head().await? else { return Ok(Next::Closed) };
        if head.path == "/health" {
            let response = self.handler.response(200, "", "", b"");
            return self.send(&response).await;
        }
        let (Some(id), fault) = (head.get(TRY_ID), Fault::of_name(head.get(FAULT).unwrap_or_default()))
        else {
            let response = self.handler.rejection(400, "");
            return self.send(&response).await;
        };
        if fault.is_early() {
            return self.run_early(&head, id, fault).await;
        }
        let body = self.read_body(&head).await?;
        if !self.surplus.is_empty() {
            let surplus = std::mem::take(&mut self.surplus);
            self.stream.write_all(&surplus).await?;
        }
        if fault == Fault::RejectionTruncated {
            let response = self.handler.rejection(503, id);
            return self.send_part(&response, response.len() - 3).await;
        }
        if fault.rejects_first_attempt() && self.handler.rejected.borrow_mut().insert(id.to_owned()) {
            return self.reject(id, fault).await;
        }
        let seal = self.handler.run(&head, id).await;
        let content = [id.as_bytes(), b"\n", &body].concat();
        let response = self.handler.response(200, id, &seal, &content);
        self.respond(id, &seal, fault, &response).await
    }

    async fn reject(&mut self, id: &str, fault: Fault) -> io::Result<Next> {
        let status = if fault == Fault::MisdirectedTwiceLate { 421 } else { 503 };
        let rejection = self.handler.rejection(status, id);
        self.stream.write_all(&rejection).await?;
        match fault {
            Fault::RejectionThenReset => self.reset(),
            Fault::RejectionTwice => {
                sleep(SURPLUS_DELAY).await;
                self.send(&rejection).await
            }
            _ => {
                self.surplus = rejection;
                Ok(Next::Request)
            }
        }
    }

    /// Responds to a request that has run, or fails to.
    async fn respond(&mut self, id: &str, seal: &str, fault: Fault, response: &[u8]) -> io::Result<Next> {
        let status = |status| self.handler.response(status, id, seal, b"");
        match fault {
            Fault::ResetWhileRunning => self.reset(),
            Fault::CloseWhileRunning => Ok(Next::Closed),
            Fault::GarbageWhileRunning => self.send(b"\x01\x02 no response\r\n\r\n").await,
            Fault::SilentWhileRunning => {
                sleep(SILENCE).await;
                Ok(Next::Closed)
            }
            Fault::HeadTruncated => self.send_part(response, 30).await,
            Fault::BodyTruncated => self.send_part(response, response.len() - 1).await,
            Fault::Unmarked503 => self.send(&status(503)).await,
            Fault::Unmarked429 => self.send(&status(429)).await,
            Fault::Unmarked408 => self.send(&status(408)).await,
            Fault::Own500 => self.send(&status(500)).await,
            Fault::Own504 => self.send(&status(504)).await,
            Fault::SurplusRejectionHead => {
                let begun = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nKeep-Alive: time";
                self.send(&[begun, response].concat()).await
            }
            Fault::SurplusMisdirectedHead => self.send(&[b"HTTP/1.1 421 Misdir", response].concat()).await,
            Fault::ResponseTwiceLate => {
                self.surplus = response.to_vec();
                self.send(response).await
            }
            Fault::ResponseThenGarbage => self.send(&[response, b"HTTP/1.1 503 Servi"].concat()).await,
            _ => self.send(response).await,
        }
    }

    /// Runs a request before its body is complete.
    async fn run_early(&mut self, head: &Head, id: &str, fault: Fault) -> io::Result<Next> {
        let seal = self.handler.run(head, id).await;
        match fault {
            Fault::EarlyRunReset => self.reset(),
            Fault::EarlyRunGarbage => self.send(b"\x01\x02 no response\r\n\r\n").await.map(|_| Next::Closed),
            Fault::EarlyRunResponse => {
                let response = self.handler.response(500, id, &seal, b"");
                self.stream.write_all(&response).await?;
                self.read_body(head).await?;
                Ok(Next::Request)
            }
            Fault::EarlyRunSilent => {
                sleep(SILENCE).await;
                Ok(Next::Closed)
            }
            _ => Ok(Next::Closed),
        }
    }

    async fn send(&mut self, response: &[u8]) -> io::Result<Next> {
        self.stream.write_all(response).await?;
        Ok(Next::Request)
    }

    /// Sends the first bytes of a response and closes the connection.
    async fn send_part(&mut self, response: &[u8], bytes: usize) -> io::Result<Next> {
        self.stream.write_all(&response[..bytes]).await?;
        self.stream.shutdown().await?;
        Ok(Next::Closed)
    }

    /// Has the connection reset when it is dropped.
    fn reset(&self) -> io::Result<Next> {
        set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO))?;
        Ok(Next::Closed)
    }

    /// Reads a head; `None` if the connection was closed before it.
    async fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut headers = Vec::new();
        loop {
            line.clear();
            if self.stream.read_line(&mut line).await? == 0 {
                return Ok(None);
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        Ok(Some(Head { path, headers }))
    }

    /// Reads a body whose length is announced.
    async fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await?;
        Ok(body)
    }
}

impl Handler {
    /// Runs a request and returns the stamp of its response.
    async fn run(&self, head: &Head, id: &str) -> String {
        self.runs.set(self.runs.get() + 1);
        let seal = format!("{}.{}", self.id, self.runs.get());
        let run = Run {
            at: self.recorder.now(),
            id: id.into(),
            service: self.service.clone(),
            customer: head.get(CUSTOMER).map(str::to_owned),
            has_key: head.get("authorization").is_some(),
            seal: seal.clone(),
            work_s: WORK.as_secs_f64(),
            ended: None,
        };
        let index = self.recorder.record(|history| {
            history.runs.push(run);
            history.runs.len() - 1
        });
        sleep(WORK).await;
        let now = self.recorder.now();
        self.recorder.record(|history| history.runs[index].ended = Some(now));
        seal
    }

    /// A response that states that the request has not run.
    fn rejection(&self, status: u16, id: &str) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {status} rejected\r\n{TRY_ID}: {id}\r\n{SERVER_ID}: {}\r\n{NOT_RUN}: 1\r\ncontent-length: 0\r\n\r\n",
            self.id
        );
        head.into_bytes()
    }

    fn response(&self, status: u16, id: &str, seal: &str, content: &[u8]) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {status} given\r\n");
        if !id.is_empty() {
            head.push_str(&format!("{TRY_ID}: {id}\r\n{SERVER_SEAL}: {seal}\r\n"));
        }
        head.push_str(&format!("{SERVER_ID}: {}\r\ncontent-length: {}\r\n\r\n", self.id, content.len()));
        [head.as_bytes(), content].concat()
    }
}
