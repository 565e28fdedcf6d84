//! Stand-in nodes: many listeners in one process, each answer after a time that is drawn.

use anyhow::{Context, Result};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::io::Write;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// How nodes answer.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Mean time; 0: at once.
    pub mean: Duration,
    /// Coefficient of variation; 0: always the mean.
    pub spread: f64,
    /// From when on, and for how long, all of them stand still, from the start of the process.
    pub stall: Option<(Duration, Duration)>,
}

struct Draw {
    work: Work,
    random: RefCell<Pcg64Mcg>,
    times: Option<LogNormal<f64>>,
    started: Instant,
}

impl Draw {
    fn time(&self) -> Duration {
        match &self.times {
            Some(times) => Duration::from_secs_f64(times.sample(&mut *self.random.borrow_mut())),
            None => self.work.mean,
        }
    }

    /// Until when an answer is held that would be due now.
    fn thaw(&self) -> Option<Instant> {
        let (from, length) = self.work.stall?;
        let now = Instant::now();
        let (begin, end) = (self.started + from, self.started + from + length);
        (now >= begin && now < end).then_some(end)
    }
}

/// Serves on so many ports until standard input ends. Their addresses are printed first, one a line.
///
/// # Errors
/// No port is free.
pub fn serve(count: usize, work: Work, seed: u64) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let spread = (1.0 + work.spread * work.spread).ln();
        let times = (work.spread > 0.0 && !work.mean.is_zero())
            .then(|| LogNormal::new(work.mean.as_secs_f64().ln() - spread / 2.0, spread.sqrt()))
            .transpose()
            .context("the spread of the work")?;
        let own = Pcg64Mcg::seed_from_u64(random.random());
        let draw = Rc::new(Draw { work, random: RefCell::new(own), times, started: Instant::now() });
        let mut addresses = String::new();
        for _ in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("no port is free")?;
            addresses.push_str(&format!("{}\n", listener.local_addr()?));
            let draw = draw.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(converse(stream, draw.clone()));
                }
            });
        }
        let mut out = std::io::stdout().lock();
        out.write_all(addresses.as_bytes())?;
        out.write_all(b"\n")?;
        out.flush()?;
        drop(out);
        super::process::until_input_ends().await;
        Ok(())
    })
}

async fn converse(mut stream: TcpStream, draw: Rc<Draw>) {
    let _ = stream.set_nodelay(true);
    let (mut held, mut part) = (Vec::with_capacity(4096), [0; 4096]);
    loop {
        // One request at a time: a front door does not pipeline.
        let whole = super::load::request_length(&held);
        match whole {
            Some(length) if held.len() >= length => {
                held.drain(..length);
                let time = draw.time();
                if !time.is_zero() {
                    sleep(time).await;
                }
                if let Some(thaw) = draw.thaw() {
                    tokio::time::sleep_until(thaw).await;
                }
                if stream.write_all(ANSWER).await.is_err() {
                    return;
                }
            }
            _ => match stream.read(&mut part).await {
                Ok(read @ 1..) => held.extend_from_slice(&part[..read]),
                _ => return,
            },
        }
    }
}
