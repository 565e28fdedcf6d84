//! A disk that loses power, and a campaign that cuts it at every operation of a change.

#![allow(dead_code)]

use brassport_state::files::Files;
use brassport_state::known::{KnownList, KnownNode};
use brassport_state::model::{Action, Change, NewNode, State};
use brassport_state::store::{Batch, Sent, Store, StoreError};
use oorandom::Rand64;
use redb::StorageBackend;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// What a device writes whole or not at all.
const SECTOR: usize = 512;

#[derive(Debug, Clone)]
enum Pending {
    Write(usize, Vec<u8>),
    Length(usize),
}

#[derive(Debug, Clone, Default)]
struct Content {
    /// What programs see.
    seen: Vec<u8>,
    /// What a power cut leaves for certain.
    durable: Vec<u8>,
    pending: Vec<Pending>,
}

/// What goes wrong at one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The power goes: nothing works from then on.
    Cut,
    /// The operation fails, and no later one does. A failed sync forgets what it was to write, as Linux does.
    Error(io::ErrorKind),
}

#[derive(Debug, Clone, Default)]
struct Inner {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    pending_names: Vec<(String, Option<usize>)>,
    operations: u64,
    fault: Option<(u64, Fault)>,
    dead: bool,
}

/// A disk in memory. Clones are handles of one disk.
#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug)]
pub struct Handle(Disk, usize);

impl Inner {
    /// One operation that changes the disk.
    fn operate(&mut self) -> io::Result<()> {
        if self.dead {
            return Err(io::Error::other("the power is out"));
        }
        let number = self.operations;
        self.operations += 1;
        match self.fault {
            Some((at, Fault::Cut)) if at == number => {
                self.dead = true;
                Err(io::Error::other("the power is out"))
            }
            Some((at, Fault::Error(kind))) if at == number => Err(kind.into()),
            _ => Ok(()),
        }
    }
}

fn apply(bytes: &mut Vec<u8>, pending: &Pending) {
    match pending {
        Pending::Write(offset, data) => {
            let end = offset + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset..end].copy_from_slice(data);
        }
        Pending::Length(length) => bytes.resize(*length, 0),
    }
}

impl Disk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panics with the lock held")
    }

    /// The same disk apart, with nothing pending on which it would depend.
    pub fn copy(&self) -> Disk {
        let mut inner = self.inner().clone();
        (inner.operations, inner.fault, inner.dead) = (0, None, false);
        Disk(Arc::new(Mutex::new(inner)))
    }

    pub fn arm(&self, at: u64, fault: Fault) {
        self.inner().fault = Some((at, fault));
    }

    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let inner = self.inner();
        inner.contents[inner.names[name]].seen.clone()
    }

    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.inner();
        inner.contents.push(Content { seen: bytes.clone(), durable: bytes, pending: Vec::new() });
        let number = inner.contents.len() - 1;
        inner.names.insert(name.into(), number);
        inner.durable_names.insert(name.into(), number);
    }

    /// What is found when the power is back: of what was not synced each sector and each name is there or not.
    pub fn after_power_cut(&self, random: &mut Rand64) -> Disk {
        let mut inner = self.inner().clone();
        // None, all, or each by its own coin.
        let mood = random.rand_range(0..4);
        let kept = |random: &mut Rand64| match mood {
            0 => false,
            1 => true,
            _ => random.rand_range(0..2) == 0,
        };
        for content in &mut inner.contents {
            for pending in std::mem::take(&mut content.pending) {
                match &pending {
                    Pending::Length(_) if kept(random) => apply(&mut content.durable, &pending),
                    Pending::Length(_) => {}
                    Pending::Write(offset, data) => {
                        let mut at = 0;
                        while at < data.len() {
                            let end = ((offset + at) / SECTOR + 1) * SECTOR - offset;
                            let end = end.min(data.len());
                            if kept(random) {
                                let sector = Pending::Write(offset + at, data[at..end].to_vec());
                                apply(&mut content.durable, &sector);
                            }
                            at = end;
                        }
                    }
                }
            }
            content.seen.clone_from(&content.durable);
        }
        for (name, bound) in std::mem::take(&mut inner.pending_names) {
            if kept(random) {
                match bound {
                    Some(number) => inner.durable_names.insert(name, number),
                    None => inner.durable_names.remove(&name),
                };
            }
        }
        inner.names.clone_from(&inner.durable_names);
        (inner.operations, inner.fault, inner.dead) = (0, None, false);
        Disk(Arc::new(Mutex::new(inner)))
    }
}

impl StorageBackend for Handle {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.inner().contents[self.1].seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let inner = self.0.inner();
        let offset = offset as usize;
        let found = inner.contents[self.1].seen.get(offset..offset + out.len());
        out.copy_from_slice(found.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.change(Pending::Length(len as usize))
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut inner = self.0.inner();
        let result = inner.operate();
        let dead = inner.dead;
        let content = &mut inner.contents[self.1];
        match result {
            Ok(()) => {
                let pending = std::mem::take(&mut content.pending);
                pending.iter().for_each(|pending| apply(&mut content.durable, pending));
                Ok(())
            }
            Err(error) => {
                if !dead {
                    content.pending.clear();
                }
                Err(error)
            }
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.change(Pending::Write(offset as usize, data.to_vec()))
    }
}

impl Handle {
    fn change(&self, pending: Pending) -> Result<(), io::Error> {
        let mut inner = self.0.inner();
        let result = inner.operate();
        // The write at which the power goes may be on its way to the device already.
        let under_way = matches!(inner.fault, Some((at, Fault::Cut)) if at + 1 == inner.operations);
        if result.is_ok() || under_way {
            let content = &mut inner.contents[self.1];
            apply(&mut content.seen, &pending);
            content.pending.push(pending);
        }
        result
    }
}

impl Files for Disk {
    type File = Handle;

    fn open(&self, name: &str) -> io::Result<Handle> {
        let number = self.inner().names.get(name).copied().ok_or(io::ErrorKind::NotFound)?;
        Ok(Handle(self.clone(), number))
    }

    fn create(&self, name: &str) -> io::Result<Handle> {
        let mut inner = self.inner();
        inner.operate()?;
        inner.contents.push(Content::default());
        let number = inner.contents.len() - 1;
        inner.names.insert(name.into(), number);
        inner.pending_names.push((name.into(), Some(number)));
        Ok(Handle(self.clone(), number))
    }

    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        let inner = self.inner();
        Ok(inner.names.get(name).map(|number| inner.contents[*number].seen.len() as u64))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.operate()?;
        let number = inner.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.names.insert(to.into(), number);
        inner.pending_names.push((to.into(), Some(number)));
        inner.pending_names.push((from.into(), None));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.names.remove(name).is_some() {
            inner.operate()?;
            inner.pending_names.push((name.into(), None));
        }
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.operate()?;
        for (name, bound) in std::mem::take(&mut inner.pending_names) {
            match bound {
                Some(number) => inner.durable_names.insert(name, number),
                None => inner.durable_names.remove(&name),
            };
        }
        Ok(())
    }

    fn describe(&self, name: &str) -> String {
        name.to_string()
    }
}

/// The name of the state's file.
pub const FILE: &str = "state.redb";

/// All that a restart must find: the state, the ids of the history, and the requests that may have run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Whole {
    pub state: State,
    pub history: Vec<String>,
    pub known: KnownList,
    pub may_have_run: BTreeSet<String>,
}

pub fn whole(store: &Store) -> Result<Whole, String> {
    let text = |error: StoreError| error.to_string();
    let history = store.history(u64::MAX, usize::MAX).map_err(text)?;
    let unfinished = store.unfinished().map_err(text)?;
    Ok(Whole {
        state: store.state().clone(),
        history: history.into_iter().rev().map(|entry| entry.change.id).collect(),
        known: store.known().clone(),
        may_have_run: unfinished.into_iter().map(|(_, sent)| sent.request).collect(),
    })
}

/// A change that is likely to be sound.
fn draw_change(random: &mut Rand64, number: u64) -> Change {
    let name = |random: &mut Rand64| format!("n{}", random.rand_range(0..6));
    let endpoint = |random: &mut Rand64| {
        format!("127.0.0.1:{}", 9000 + random.rand_range(0..8)).parse().expect("an address")
    };
    let action = match random.rand_range(0..8) {
        0..=2 => Action::AddNode {
            name: name(random),
            endpoint: endpoint(random),
            zone: String::new(),
            group: 0,
            size: 1.0,
            warm: false,
        },
        3 | 4 => Action::DrainNode { name: name(random) },
        5 => Action::RemoveNode { name: name(random) },
        6 => {
            let mut nodes = BTreeMap::new();
            for _ in 0..random.rand_range(1..40) {
                let name = format!("m{}", random.rand_range(0..60));
                let endpoint = endpoint(random);
                nodes.insert(
                    name.clone(),
                    NewNode { name, endpoint, zone: String::new(), group: 0, size: 1.0 },
                );
            }
            Action::ImportNodes { nodes: nodes.into_values().collect() }
        }
        _ => Action::SetPlan {
            studio: random.rand_range(0..4),
            plan: (random.rand_range(0..3) > 0).then(|| "gold".to_string()),
        },
    };
    Change {
        id: format!("c{number}"),
        who: "seed".into(),
        at_ms: random.rand_range(0..1000),
        seen: None,
        action,
    }
}

/// A list of which no two are alike in any row.
fn draw_known(random: &mut Rand64) -> KnownList {
    let heard_ms = random.rand_range(0..1_000_000);
    let node = |random: &mut Rand64| KnownNode {
        endpoint: format!("127.0.0.1:{}", 9000 + random.rand_range(0..8)).parse().expect("an address"),
        zone: String::new(),
        group: 0,
        size: 1.0,
        started_ms: heard_ms as f64,
        draining: random.rand_range(0..3) == 0,
        heard_ms,
    };
    let count = random.rand_range(0..30);
    (0..count).map(|_| (format!("k{}", random.rand_range(0..40)), node(random))).collect()
}

/// A batch: one to three changes, now and then one that is sent again, with requests that begin and end.
fn draw_batch(random: &mut Rand64, number: &mut u64, in_hand: &BTreeSet<String>) -> Batch {
    let mut batch = Batch::default();
    for _ in 0..random.rand_range(0..4) {
        *number += 1;
        batch.changes.push(draw_change(random, *number));
        if random.rand_range(0..5) == 0 {
            batch.changes.push(batch.changes[0].clone());
        }
    }
    for _ in 0..random.rand_range(0..3) {
        *number += 1;
        batch.sending.push(Sent {
            request: format!("r{number}"),
            class: "job-submit".into(),
            studio: 1,
            node: "n1".into(),
            at_ms: 0,
        });
    }
    if random.rand_range(0..3) == 0 {
        batch.known = Some(draw_known(random));
    }
    batch.ended = in_hand.iter().filter(|_| random.rand_range(0..2) == 0).cloned().collect();
    batch
}

/// What the model says of a batch.
fn model(old: &Whole, batch: &Batch) -> Whole {
    let mut new = old.clone();
    for change in &batch.changes {
        if new.history.contains(&change.id) {
            continue;
        }
        if let Ok(next) = new.state.after(change) {
            new.state = next;
            new.history.push(change.id.clone());
        }
    }
    if let Some(known) = &batch.known {
        new.known.clone_from(known);
    }
    new.may_have_run.extend(batch.sending.iter().map(|sent| sent.request.clone()));
    new.may_have_run.retain(|request| !batch.ended.contains(request));
    new
}

/// What a campaign did.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub histories: u64,
    pub batches: u64,
    pub cuts: u64,
    pub recovered_old: u64,
    pub recovered_new: u64,
}

impl Tally {
    pub fn and(self, other: Tally) -> Tally {
        Tally {
            histories: self.histories + other.histories,
            batches: self.batches + other.batches,
            cuts: self.cuts + other.cuts,
            recovered_old: self.recovered_old + other.recovered_old,
            recovered_new: self.recovered_new + other.recovered_new,
        }
    }
}

/// Cuts the power at every operation of every batch of a seeded history, each time with the unsynced writes lost in
/// another way, and compares what the restart finds with the model. The history goes on from one of the wrecks.
pub fn play(seed: u64, tally: &mut Tally) -> Result<(), String> {
    let mut random = Rand64::new(u128::from(seed));
    let text = |error: StoreError| format!("seed {seed}: {error}");
    let mut rest = Disk::default();
    Store::create(&rest, FILE).map_err(text)?;
    let mut old = Whole::default();
    let mut number = 0;
    tally.histories += 1;
    for step in 0..random.rand_range(1..5) {
        // In hand: sent in the same life. A restart makes all earlier ones unfinished, which no end undoes.
        let first = draw_batch(&mut random, &mut number, &BTreeSet::new());
        let in_hand = first.sending.iter().map(|sent| sent.request.clone()).collect();
        let batches = [draw_batch(&mut random, &mut number, &in_hand)];
        let middle = model(&old, &first);
        let new = model(&middle, &batches[0]);
        tally.batches += 2;
        let life = |disk: &Disk| -> Result<u64, (u64, StoreError)> {
            let mut store = Store::open(disk, FILE).map_err(|error| (0, error))?;
            store.write(&first).map_err(|error| (0, error))?;
            store.write(&batches[0]).map_err(|error| (1, error))?;
            Ok(2)
        };
        let sound = rest.copy();
        life(&sound).map_err(|(_, error)| text(error))?;
        let operations = sound.operations();
        let mut wrecks = Vec::new();
        for at in 0..=operations {
            let disk = rest.copy();
            disk.arm(at, Fault::Cut);
            let acknowledged = match life(&disk) {
                Ok(acknowledged) | Err((acknowledged, _)) => acknowledged,
            };
            let wreck = disk.after_power_cut(&mut random);
            let where_ = || format!("seed {seed}, step {step}, cut at operation {at} of {operations}");
            let found = Store::open(&wreck, FILE).map_err(|error| format!("{}: {error}", where_()))?;
            let found = whole(&found)?;
            let allowed = &[&old, &middle, &new][acknowledged as usize..];
            let Some(which) = allowed.iter().position(|allowed| **allowed == found) else {
                return Err(format!(
                    "{}, {acknowledged} batches acknowledged: found {found:?}, not one of {allowed:?}",
                    where_()
                ));
            };
            tally.cuts += 1;
            if which == 0 {
                tally.recovered_old += 1;
            } else {
                tally.recovered_new += 1;
            }
            wrecks.push((wreck, found));
        }
        let chosen = random.rand_range(0..wrecks.len() as u64) as usize;
        (rest, old) = wrecks.swap_remove(chosen);
    }
    Ok(())
}

/// Cuts the power at every operation of making a file: a new state, and a backup brought back over an old one.
pub fn play_files(seed: u64, tally: &mut Tally) -> Result<(), String> {
    let mut random = Rand64::new(u128::from(seed));
    let text = |error: StoreError| format!("seed {seed}: {error}");
    let mut number = 0;
    let empty = Disk::default();
    let make = |disk: &Disk| Store::create(disk, FILE);
    let sound = empty.copy();
    make(&sound).map_err(text)?;
    let fill = |disk: &Disk, random: &mut Rand64, number: &mut u64| -> Result<Whole, StoreError> {
        let mut store = Store::open(disk, FILE)?;
        let batch = draw_batch(random, number, &BTreeSet::new());
        store.write(&batch)?;
        Ok(model(&Whole::default(), &batch))
    };
    for at in 0..=sound.operations() {
        let disk = empty.copy();
        disk.arm(at, Fault::Cut);
        let acknowledged = make(&disk).is_ok();
        let wreck = disk.after_power_cut(&mut random);
        tally.cuts += 1;
        match Store::open(&wreck, FILE) {
            Ok(store) if whole(&store)? == Whole::default() => {}
            Err(StoreError::Missing { .. }) if !acknowledged => {}
            other => return Err(format!("seed {seed}, making a state, cut at {at}: {other:?}")),
        }
    }
    // Two sound states: the one in use, and the backup.
    let old = fill(&sound, &mut random, &mut number).map_err(text)?;
    let other = Disk::default();
    make(&other).map_err(text)?;
    let new = fill(&other, &mut random, &mut number).map_err(text)?;
    let restore = |disk: &Disk| Store::open(&other, FILE)?.snapshot()?.copy_to(disk, FILE);
    let trial = sound.copy();
    restore(&trial).map_err(text)?;
    for at in 0..=trial.operations() {
        let disk = sound.copy();
        disk.arm(at, Fault::Cut);
        let acknowledged = restore(&disk).is_ok();
        let wreck = disk.after_power_cut(&mut random);
        tally.cuts += 1;
        let found = Store::open(&wreck, FILE).map_err(text).and_then(|store| whole(&store));
        match found {
            Ok(found) if found == new || (found == old && !acknowledged) => {}
            other => return Err(format!("seed {seed}, bringing a backup back, cut at {at}: {other:?}")),
        }
    }
    Ok(())
}

/// Flips single bits of a file at rest: the restart finds the same state or says that the file is damaged.
pub fn play_flips(seed: u64, flips: u64) -> Result<u64, String> {
    let mut random = Rand64::new(u128::from(seed));
    let text = |error: StoreError| format!("seed {seed}: {error}");
    let disk = Disk::default();
    Store::create(&disk, FILE).map_err(text)?;
    let mut number = 0;
    let mut store = Store::open(&disk, FILE).map_err(text)?;
    for _ in 0..6 {
        let batch = draw_batch(&mut random, &mut number, &BTreeSet::new());
        store.write(&batch).map_err(text)?;
    }
    // As a power cut leaves it, and closed in order.
    let cut = disk.bytes(FILE);
    drop(store);
    let expected = whole(&Store::open(&disk, FILE).map_err(text)?)?;
    let closed = disk.bytes(FILE);
    let mut damaged = 0;
    for flip in 0..flips {
        let sound = if flip % 2 == 0 { &cut } else { &closed };
        // Most of the file is empty pages: half of the flips go where there is something.
        let mut at = random.rand_range(0..sound.len() as u64) as usize;
        while sound[at] == 0 && random.rand_range(0..64) != 0 {
            at = random.rand_range(0..sound.len() as u64) as usize;
        }
        let mut bytes = sound.clone();
        bytes[at] ^= 1 << random.rand_range(0..8);
        let flipped = Disk::default();
        flipped.put(FILE, bytes.clone());
        match Store::open(&flipped, FILE) {
            Ok(store) => {
                let found = whole(&store)?;
                if found != expected {
                    return Err(format!("seed {seed}: a flip in byte {at} is taken for {found:?}"));
                }
            }
            Err(StoreError::Corrupt { .. }) if flipped.bytes(FILE) == bytes => damaged += 1,
            Err(StoreError::Corrupt { .. }) => {
                return Err(format!("seed {seed}: a flip in byte {at}: repaired"))
            }
            Err(error) => return Err(format!("seed {seed}: a flip in byte {at}: {error}")),
        }
    }
    Ok(damaged)
}
