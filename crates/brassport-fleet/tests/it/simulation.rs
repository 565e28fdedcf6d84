//! A fleet under a virtual clock: leaders that change, doors and voters behind links that fail, clocks that drift,
//! processes that stand still, start anew or go on beside their successor. Two things are judged: once a fence was said to
//! hold, nobody acts on less; and no two processes of one name act at once.

use brassport_fleet::grants::{Answer, Ask, Grants, Terms};
use brassport_fleet::shared::{Change, Process, Shared, DOOR};
use brassport_fleet::standing::{Standing, Why};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

const END: u64 = 40_000;

struct Clock {
    offset: f64,
    rate: f64,
}

impl Clock {
    fn at(&self, now: u64) -> u64 {
        (self.offset + self.rate * now as f64) as u64
    }
}

struct Door {
    name: usize,
    clock: Clock,
    process: u64,
    /// Version of its predecessor's entry in the fleet, 0 if it is the first, where all up to that one are gone.
    behind: Option<u64>,
    /// Version of its own entry, and whether that says that it is alone.
    entry: Option<(u64, bool)>,
    shared: Shared,
    standing: Standing,
    /// It stands still until then.
    frozen: u64,
    next_ask: u64,
}

enum Message {
    Ask { door: usize, ask: Ask, asked: u64 },
    Answer { door: usize, process: u64, asked: u64, answer: Answer },
    Pull { door: usize, process: u64 },
    Bring { door: usize, process: u64, state: Shared },
    AskLeave { door: usize, process: u64, voter: u64, asked: u64 },
    Leave { door: usize, process: u64, asked: u64 },
}

struct Voter {
    clock: Clock,
    heard: u64,
}

/// What was seen, so that a test knows that it tried something.
#[derive(Debug, Default)]
pub struct Tally {
    pub fences: u32,
    pub fenced_with_one_out: u32,
    pub leaves: u32,
    pub stops: u32,
}

fn clock(random: &mut Rand64, terms: &Terms) -> Clock {
    // Two clocks run apart by the bound at most.
    let part = terms.drift_permille as f64 / 1000.0;
    Clock {
        offset: random.rand_range(0..9_000) as f64,
        rate: 1.0 + part * (0.95 * random.rand_float() - 0.475),
    }
}

/// Plays one seed: three in four with four doors and three voters, the others with up to 30 doors and three or five voters.
pub fn play(seed: u64) -> Result<Tally, String> {
    let mut sizes = Rand64::new(u128::from(seed) << 64);
    let (doors, voters) = match sizes.rand_range(0..4) {
        0 => (sizes.rand_range(2..31) as usize, 3 + 2 * sizes.rand_range(0..2)),
        _ => (4, 3),
    };
    play_with(seed, doors, voters)
}

/// Plays one seed with so many doors and voters.
pub fn play_with(seed: u64, size: usize, electorate: u64) -> Result<Tally, String> {
    let random = &mut Rand64::new(u128::from(seed));
    let mut span = |from: u64, to: u64| random.rand_range(from..to);
    let (length, silence, leave) = (span(600, 2500), span(400, 1200), span(200, 2500));
    let terms = Terms { length, drift_permille: 100, silence, leave, bring_up: 4000 };
    let mut tally = Tally::default();
    let mut log = Shared::default();
    let name = |door: usize| format!("door-{door}");
    let mut process = 0;
    let mut doors: Vec<Door> = (0..size)
        .map(|name| {
            process += 1;
            Door {
                name,
                clock: clock(random, &terms),
                process,
                behind: Some(0),
                entry: None,
                shared: Shared::default(),
                standing: Standing::default(),
                frozen: 0,
                next_ask: 0,
            }
        })
        .collect();
    let mut voters: Vec<Voter> =
        (0..electorate).map(|_| Voter { clock: clock(random, &terms), heard: 0 }).collect();
    let mut leader = 0u64;
    let mut grants = Grants::new(terms, voters[0].clock.at(0));
    let mut next_change = 0;
    let mut messages: BTreeMap<(u64, u64), Message> = BTreeMap::new();
    let mut sent = 0;
    // Links: doors to the leader's side, voters to the leader. Cut until then.
    let (mut door_cut, mut voter_cut) = (vec![0u64; size], vec![0u64; electorate as usize]);
    let mut pending: Option<u64> = None;
    let mut held: Option<u64> = None;
    let mut now = 0;
    while now < END {
        now += 5;
        let post = |messages: &mut BTreeMap<_, _>, sent: &mut u64, delay: u64, message| {
            *sent += 1;
            messages.insert((now + delay, *sent), message);
        };
        // Faults.
        if random.rand_range(0..200) == 0 {
            let door = random.rand_range(0..size as u64) as usize;
            door_cut[door] = now + random.rand_range(100..6000);
        }
        if random.rand_range(0..400) == 0 {
            let voter = random.rand_range(0..electorate);
            // Never so that the leader has no majority: then nothing is decided, and nothing is to be judged.
            let cut = voter_cut.iter().filter(|until| **until > now).count();
            if voter != leader && 2 * (cut as u64 + 1) < electorate {
                voter_cut[voter as usize] = now + random.rand_range(100..8000);
            }
        }
        if random.rand_range(0..1200) == 0 {
            let next = random.rand_range(0..electorate);
            if next != leader && voter_cut[next as usize] <= now {
                leader = next;
                voter_cut = vec![0; electorate as usize];
                grants = Grants::new(terms, voters[next as usize].clock.at(now));
            }
        }
        if random.rand_range(0..300) == 0 {
            let door = random.rand_range(0..doors.len() as u64) as usize;
            let door = &mut doors[door];
            door.frozen = now + random.rand_range(50..4000);
        }
        if random.rand_range(0..500) == 0 {
            // A new process, at times with an older directory; at times the one before it goes on, and may stand still now.
            let n = random.rand_range(0..doors.len() as u64) as usize;
            process += 1;
            let door = Door {
                name: doors[n].name,
                clock: clock(random, &terms),
                process,
                behind: None,
                entry: None,
                shared: if random.rand_range(0..2) == 0 {
                    Shared::default()
                } else {
                    doors[n].shared.clone()
                },
                standing: Standing::default(),
                frozen: now,
                next_ask: 0,
            };
            if doors.len() < 3 * size && random.rand_range(0..2) == 0 {
                doors.push(door);
            } else {
                let before = &doors[n];
                let behind = match before.entry {
                    Some((version, alone)) => (alone || before.standing.had_one()).then_some(version),
                    None => before.behind,
                };
                doors[n] = Door { behind, ..door };
            }
        }
        let here = voters[leader as usize].clock.at(now);
        // The operator publishes, and asks whether it holds everywhere.
        if pending.is_none() && random.rand_range(0..300) == 0 {
            next_change += 1;
            let mut change =
                Change::new(&format!("c{next_change}"), "o", "r", "ban", "n", next_change.into());
            change.fence = true;
            pending = Some(log.apply(&change).map_err(|refusal| refusal.to_string())?.version);
            held = None;
        }
        grants.note(here, &log);
        let others: BTreeSet<u64> = (0..electorate).filter(|voter| *voter != leader).collect();
        for voter in (0..electorate).filter(|voter| *voter != leader) {
            if voter_cut[voter as usize] <= now && now % 50 == 0 {
                grants.heard(here, voter);
                let voter = &mut voters[voter as usize];
                voter.heard = voter.clock.at(now);
            }
        }
        voters[leader as usize].heard = here;
        if let Some(version) = pending {
            if grants.fence(here, version, &log, &others).is_empty() {
                tally.fences += 1;
                tally.fenced_with_one_out +=
                    u32::from(doors.iter().any(|door| door.shared.version() < version));
                (pending, held) = (None, Some(version));
            }
        }
        // Messages.
        while messages.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
            let Some((_, message)) = messages.pop_first() else { break };
            let is_open = |door: usize| door_cut[doors[door].name] <= now;
            let slow = random.rand_range(5..400);
            match message {
                Message::Ask { door, ask, asked } => {
                    let answer = grants.ask(here, &ask, &log, &others);
                    if is_open(door) {
                        post(
                            &mut messages,
                            &mut sent,
                            slow,
                            Message::Answer { door, process: ask.process, asked, answer },
                        );
                    }
                }
                Message::Answer { door, process, asked, answer } => {
                    let frozen = doors[door].frozen;
                    if frozen > now {
                        post(
                            &mut messages,
                            &mut sent,
                            frozen - now,
                            Message::Answer { door, process, asked, answer },
                        );
                        continue;
                    }
                    let door = &mut doors[door];
                    if door.process == process {
                        match answer {
                            Answer::Granted { length } => {
                                door.standing.granted(door.clock.at(now), asked, length)
                            }
                            Answer::Behind { .. } => door.standing.refused(Why::Behind),
                            _ => {}
                        }
                    }
                }
                Message::Pull { door, process } => {
                    if is_open(door) {
                        let state = log.clone();
                        post(&mut messages, &mut sent, slow, Message::Bring { door, process, state });
                    }
                }
                Message::Bring { door, process, state } => {
                    let door = &mut doors[door];
                    if door.process == process
                        && door.frozen <= now
                        && state.version() > door.shared.version()
                    {
                        door.shared = state;
                    }
                }
                Message::AskLeave { door, process, voter, asked } => {
                    let voter = &voters[voter as usize];
                    if voter.clock.at(now) >= voter.heard + terms.silence {
                        post(&mut messages, &mut sent, slow, Message::Leave { door, process, asked });
                    }
                }
                Message::Leave { door, process, asked } => {
                    let door = &mut doors[door];
                    if door.process == process && door.frozen <= now {
                        tally.leaves += 1;
                        door.standing.left(door.clock.at(now), asked, terms.leave);
                    }
                }
            }
        }
        // Doors.
        let mut acting = BTreeMap::new();
        for (n, door) in doors.iter_mut().enumerate() {
            if door.frozen > now {
                continue;
            }
            let local = door.clock.at(now);
            let may_act = door.standing.may_act(local);
            if may_act.is_ok() {
                if let Some(other) = acting.insert(door.name, door.process) {
                    let process = door.process;
                    return Err(format!(
                        "seed {seed}, {now} ms: processes {other} and {process} of one name act"
                    ));
                }
            }
            if let (Some(version), Ok(())) = (held, may_act) {
                if door.shared.version() < version {
                    return Err(format!(
                        "seed {seed}, {now} ms: door {n} acts on version {} behind a fence of {version}",
                        door.shared.version()
                    ));
                }
            }
            tally.stops += u32::from(may_act == Err(Why::RanOut) && local % 500 < 5);
            if now < door.next_ask {
                continue;
            }
            door.next_ask = now + random.rand_range(200..500);
            let is_open = door_cut[door.name] <= now;
            if door.entry.is_none() && is_open {
                for seen in [door.behind, None] {
                    let id = format!("p{}-{seen:?}", door.process);
                    let process = Process { process: door.process, alone: seen.is_some() };
                    let body = serde_json::to_value(process).map_err(|error| error.to_string())?;
                    let change = Change::new(&id, "d", "starts", DOOR, &name(door.name), body);
                    if let Ok(done) = log.apply(&Change { seen, ..change }) {
                        door.entry = Some((done.version, seen.is_some()));
                        break;
                    }
                }
            }
            let (process, asked) = (door.process, door.standing.ask(local));
            if is_open {
                let ask = Ask {
                    door: name(door.name),
                    process,
                    version: door.shared.version(),
                    had_one: door.standing.had_one(),
                };
                let delay = random.rand_range(5..400);
                post(&mut messages, &mut sent, delay, Message::Ask { door: n, ask, asked });
                post(&mut messages, &mut sent, delay, Message::Pull { door: n, process });
            } else {
                // It is on the side of a voter that is cut off too, if there is one.
                let voter = (0..electorate).find(|voter| voter_cut[*voter as usize] > now);
                if let Some(voter) = voter {
                    let delay = random.rand_range(5..400);
                    post(
                        &mut messages,
                        &mut sent,
                        delay,
                        Message::AskLeave { door: n, process, voter, asked },
                    );
                }
            }
        }
    }
    Ok(tally)
}
