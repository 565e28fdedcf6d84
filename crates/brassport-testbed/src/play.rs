//! A play: a whole site under traffic for some seconds, with faults or without.

use crate::backend::{Backend, Kind};
use crate::clients::{keep_asking, Client, Platform, Wish};
use crate::configuration::{Plan, SERVICES};
use crate::history::Journal;
use crate::operator::Operator;
use crate::report::Report;
use crate::site::{zone, Layout, Site, GRACE};
use miette::{miette, IntoDiagnostic};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{sleep, timeout};

/// How long the site may take to come up.
const TO_COME_UP: Duration = Duration::from_secs(15);
/// Between two changes of the configuration.
const BETWEEN_CHANGES: Duration = Duration::from_millis(2600);

/// What is played.
#[derive(Debug, Clone)]
pub struct Terms {
    /// How long there is traffic.
    pub length: Duration,
    /// Whether doors are killed and rolled, and backends end.
    pub has_faults: bool,
    /// The door to kill, counted from 0; otherwise the one that acknowledged last.
    pub kill: Option<usize>,
    /// The gateway's program.
    pub program: PathBuf,
    /// Another build's program: the door that is rolled is started again with it.
    pub other_program: Option<PathBuf>,
}

/// Runs what is given on this thread, with tasks beside it.
///
/// # Errors
/// There is no runtime to be had.
pub fn block_on<T>(it: impl std::future::Future<Output = T>) -> miette::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    Ok(LocalSet::new().block_on(&runtime, it))
}

/// Two backends for each service, in turn over the zones.
///
/// # Errors
/// One can't listen.
pub async fn backends(site: &Site, journal: &Rc<Journal>) -> miette::Result<Vec<Backend>> {
    let mut all = Vec::new();
    for number in 0..SERVICES.len() * 2 {
        all.push(backend(site, journal, SERVICES[number % SERVICES.len()], number + 1).await?);
    }
    Ok(all)
}

/// One backend.
///
/// # Errors
/// It can't listen.
pub async fn backend(
    site: &Site,
    journal: &Rc<Journal>,
    service: &str,
    number: usize,
) -> miette::Result<Backend> {
    let kind = Kind {
        service: service.into(),
        zone: zone(number).into(),
        capacity: 6,
        queue: 6,
        work: Duration::from_millis(8 + 4 * (number as u64 % 3)),
    };
    Backend::start(kind, site.controls(), journal.clone()).await.into_diagnostic()
}

/// Starts the clients: about a hundred requests a second.
pub fn clients(
    site: &Site,
    platform: &Rc<Platform>,
    journal: &Rc<Journal>,
    plan: &Rc<RefCell<Plan>>,
    stop: &Rc<Cell<bool>>,
) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    let mut number = 0;
    let mut add = |per_s: f64, only: Option<usize>, wish: Box<dyn FnMut(u32) -> Option<Wish>>| {
        number += 1;
        let mut client = Client::new(number, platform.clone(), journal.clone());
        client.only = only.map(|door| site.doors[door].front());
        tasks.push(keep_asking(client, per_s, stop.clone(), wish));
    };
    let with_key = |name: &str| {
        let key = plan.borrow().key(name).unwrap_or_default().to_owned();
        Some((name.to_owned(), key))
    };
    // Tenants within their quota: goods, orders, and what is open to all.
    for tenant in ["oak", "elm", "oak", "elm", "oak", "elm", "oak"] {
        let tenant = with_key(tenant);
        let wish = move |point| {
            let (path_start, is_safe) = match point % 10 {
                0..=5 => ("/goods/", true),
                6..=8 => ("/orders/", false),
                _ => ("/open/", true),
            };
            Some(Wish {
                path_start: path_start.into(),
                is_safe,
                tenant: tenant.clone(),
                is_due: true,
                work: None,
                leaves_after: None,
            })
        };
        add(9.0, None, Box::new(wish));
    }
    // One beyond its quota.
    for _ in 0..4 {
        let tenant = with_key("reed");
        let wish = Wish {
            path_start: "/goods/".into(),
            is_safe: true,
            tenant,
            is_due: false,
            work: None,
            leaves_after: None,
        };
        add(14.0, None, Box::new(move |_| Some(wish.clone())));
    }
    // Orders that take long: a door that is told to end sees them to their end.
    for tenant in ["oak", "elm"] {
        let tenant = with_key(tenant);
        let work = Some(Duration::from_millis(500));
        let wish = Wish {
            path_start: "/orders/".into(),
            is_safe: false,
            tenant,
            is_due: true,
            work,
            leaves_after: None,
        };
        add(1.0, None, Box::new(move |_| Some(wish.clone())));
    }
    // Clients that leave long before their answers could come.
    for _ in 0..3 {
        let tenant = with_key("elm");
        let wish = move |point: u32| {
            Some(Wish {
                path_start: "/goods/".into(),
                is_safe: true,
                tenant: tenant.clone(),
                is_due: false,
                work: Some(Duration::from_millis(1500)),
                leaves_after: Some(Duration::from_millis(20 + u64::from(point % 300))),
            })
        };
        add(3.0, None, Box::new(wish));
    }
    // Without a key: allowed on the open route only.
    for (path_start, is_due) in [("/open/", true), ("/orders/", false)] {
        let wish = Wish {
            path_start: path_start.into(),
            is_safe: path_start == "/open/",
            tenant: None,
            is_due,
            work: None,
            leaves_after: None,
        };
        add(4.0, None, Box::new(move |_| Some(wish.clone())));
    }
    // Directly at each door that receives clients: the newest route.
    for door in 0..site.doors.len() {
        let (plan, platform, tenant) = (plan.clone(), platform.clone(), with_key("elm"));
        let wish = move |_| {
            let path_start = plan.borrow().newest_route()?.path_start.clone();
            let wish = Wish {
                path_start,
                is_safe: true,
                tenant: tenant.clone(),
                is_due: false,
                work: None,
                leaves_after: None,
            };
            platform.is_in(door).then_some(wish)
        };
        add(4.0, Some(door), Box::new(wish));
    }
    tasks
}

/// Plays once.
///
/// # Errors
/// The site did not come up. What came of the play stands in the report.
pub async fn play(terms: &Terms) -> miette::Result<Report> {
    let mut site = Site::lay(&Layout::of_five(&terms.program))?;
    let journal = Journal::begin();
    site.start_all()?;
    let mut backends = backends(&site, &journal).await?;
    let mut operator = Operator::new(site.controls(), journal.clone());
    let first = Plan::first(1);
    let said = operator.put(first.clone(), TO_COME_UP).await;
    if said.is_none_or(|said| said.status != 200) {
        return Err(miette!("the first configuration was not taken: {said:?}\n{}", site.said()));
    }
    for door in 0..site.doors.len() {
        if !site.is_ready_within(door, TO_COME_UP).await {
            return Err(miette!("door {} is not ready\n{}", door + 1, site.said()));
        }
    }
    let doors: Vec<_> = site.doors.iter().map(|door| (door.ready(), door.front())).collect();
    let platform = Platform::watch(&doors);
    while platform.count_in() < doors.len() {
        sleep(Duration::from_millis(20)).await;
    }
    let (plan, stop) = (Rc::new(RefCell::new(first)), Rc::new(Cell::new(false)));
    let tasks = clients(&site, &platform, &journal, &plan, &stop);
    let last_by = Rc::new(Cell::new(operator.last_by));
    let operating = {
        let (plan, stop, last_by) = (plan.clone(), stop.clone(), last_by.clone());
        tokio::task::spawn_local(async move {
            let mut pause = Duration::from_millis(600);
            while !stop.get() {
                sleep(pause).await;
                pause = BETWEEN_CHANGES;
                let Some(current) = operator.plan.clone() else { break };
                // Versions go up in uneven steps.
                let next = current.next(current.version + 1 + current.version % 3);
                if !stop.get() && operator.put(next, Duration::from_secs(8)).await.is_some() {
                    plan.borrow_mut().clone_from(operator.plan.as_ref().unwrap_or(&current));
                    last_by.set(operator.last_by);
                }
            }
            operator
        })
    };
    let mut faults = Vec::new();
    if terms.has_faults {
        let newer = backend(&site, &journal, "alder", 7).await?;
        let leaver = backends.remove(0);
        let leaving = tokio::task::spawn_local(leaver.leave());
        backends.push(newer);
        faults.push((journal.now(), "a backend of alder ends as planned, another has come".to_owned()));
        sleep(terms.length.mul_f64(0.35)).await;
        let last = last_by.get().and_then(|at| site.doors.iter().position(|door| door.control() == at));
        let door = terms.kill.or(last).unwrap_or(0).min(site.doors.len() - 1);
        let killed = journal.now();
        site.doors[door].kill();
        faults.push((journal.now(), format!("door {} is killed", door + 1)));
        sleep(Duration::from_millis(500)).await;
        site.start(door)?;
        journal.disturbed(site.doors[door].front(), killed);
        faults.push((journal.now(), format!("door {} is started again", door + 1)));
        sleep(terms.length.mul_f64(0.2)).await;
        backends.remove(1).crash();
        faults.push((journal.now(), "a backend crashes".to_owned()));
        let rolled = (door + 1) % site.doors.len();
        site.doors[rolled].terminate();
        faults.push((journal.now(), format!("door {} is told to end", rolled + 1)));
        let since = tokio::time::Instant::now();
        let in_order = site.doors[rolled].ended(GRACE).await;
        let how = if in_order { "ended by itself" } else { "had to be killed" };
        faults.push((journal.now(), format!("door {} {how}", rolled + 1)));
        if let Some(program) = &terms.other_program {
            site.doors[rolled].set_program(program);
        }
        site.start(rolled)?;
        faults.push((journal.now(), format!("door {} is started again", rolled + 1)));
        sleep(terms.length.mul_f64(0.45).saturating_sub(since.elapsed())).await;
        let is_told = timeout(GRACE, leaving).await;
        let how = if matches!(is_told, Ok(Ok(true))) { "was" } else { "was not" };
        faults.push((journal.now(), format!("the planned end of the backend {how} acknowledged")));
    } else {
        sleep(terms.length).await;
    }
    stop.set(true);
    let now = journal.now();
    journal.note(|history| history.end = now);
    for task in tasks {
        // Each ends behind the request that it is at.
        let _ = timeout(Duration::from_secs(4), task).await;
    }
    let mut operator = operating.await.into_diagnostic()?;
    operator.read_back(Duration::from_secs(6)).await;
    Ok(Report::of(&journal.history(), faults))
}
