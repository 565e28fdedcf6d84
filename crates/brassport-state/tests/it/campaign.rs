//! Campaigns that cut the power at every operation, or flip bits, and compare what a restart finds with the model.

use crate::disk::{Disk, Fault};
use crate::draw::{after, draw_batch, durable, Durable};
use brassport_state::store::{Batch, Store, StoreError};
use oorandom::Rand64;
use std::collections::BTreeSet;

/// The name of the state's file.
pub const FILE: &str = "state.redb";

/// What a campaign did.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub histories: u64,
    pub batches: u64,
    pub cuts: u64,
    pub recovered_old: u64,
    pub recovered_new: u64,
}

impl Counts {
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            histories: self.histories + other.histories,
            batches: self.batches + other.batches,
            cuts: self.cuts + other.cuts,
            recovered_old: self.recovered_old + other.recovered_old,
            recovered_new: self.recovered_new + other.recovered_new,
        }
    }
}

/// Two batches that one run of the program writes.
struct Run {
    batches: [Batch; 2],
    /// What may be durable after each number of acknowledged batches, and after later ones.
    durable: [Durable; 3],
}

/// Why a run ended early.
struct Interrupted {
    acknowledged: usize,
    error: StoreError,
}

impl Run {
    fn draw(random: &mut Rand64, number: &mut u64, old: Durable) -> Run {
        // In flight: sent in the same run. A restart makes all earlier ones unfinished, which no end undoes.
        let first = draw_batch(random, number, &BTreeSet::new());
        let in_flight = first.sending.iter().map(|sent| sent.request.clone()).collect();
        let second = draw_batch(random, number, &in_flight);
        let middle = after(&old, &first);
        let new = after(&middle, &second);
        Run { batches: [first, second], durable: [old, middle, new] }
    }

    /// Writes both batches and returns how many were acknowledged.
    fn execute(&self, disk: &Disk) -> Result<usize, Interrupted> {
        let interrupted = |acknowledged| move |error| Interrupted { acknowledged, error };
        let mut store = Store::open(disk, FILE).map_err(interrupted(0))?;
        for (acknowledged, batch) in self.batches.iter().enumerate() {
            store.write(batch).map_err(interrupted(acknowledged))?;
        }
        Ok(self.batches.len())
    }
}

/// Cuts the power at every operation of every run of a seeded history, each time with the unsynced writes lost in
/// another way, and compares what the restart finds with the model. The history continues from one of the wrecks.
pub fn cut_every_operation(seed: u64, counts: &mut Counts) -> Result<(), String> {
    let mut random = Rand64::new(u128::from(seed));
    let text = |error: StoreError| format!("seed {seed}: {error}");
    let mut rest = Disk::default();
    Store::create(&rest, FILE).map_err(text)?;
    let mut old = Durable::default();
    let mut number = 0;
    counts.histories += 1;
    for step in 0..random.rand_range(1..5) {
        let run = Run::draw(&mut random, &mut number, old);
        counts.batches += 2;
        let sound = rest.copy();
        run.execute(&sound).map_err(|interrupted| text(interrupted.error))?;
        let operations = sound.operations();
        let mut wrecks = Vec::new();
        for at in 0..=operations {
            let position = format!("seed {seed}, step {step}, cut at operation {at} of {operations}");
            let wreck = cut_run(&run, &rest, at, &mut random, counts);
            wrecks.push(wreck.map_err(|problem| format!("{position}{problem}"))?);
        }
        let chosen = random.rand_range(0..wrecks.len() as u64) as usize;
        (rest, old) = wrecks.swap_remove(chosen);
    }
    Ok(())
}

/// Cuts the power at one operation of a run; the disk after it and what a restart finds there.
fn cut_run(
    run: &Run,
    rest: &Disk,
    at: u64,
    random: &mut Rand64,
    counts: &mut Counts,
) -> Result<(Disk, Durable), String> {
    let disk = rest.copy();
    disk.arm(at, Fault::Cut);
    let acknowledged = run.execute(&disk).unwrap_or_else(|interrupted| interrupted.acknowledged);
    let wreck = disk.after_power_cut(random);
    let found = Store::open(&wreck, FILE).map_err(|error| format!(": {error}"))?;
    let found = durable(&found)?;
    let allowed = &run.durable[acknowledged..];
    let Some(which) = allowed.iter().position(|allowed| *allowed == found) else {
        return Err(format!(
            ", {acknowledged} batches acknowledged: found {found:?}, not one of {allowed:?}"
        ));
    };
    counts.cuts += 1;
    match which {
        0 => counts.recovered_old += 1,
        _ => counts.recovered_new += 1,
    }
    Ok((wreck, found))
}

/// Cuts the power at every operation of making a file: a new state, and a backup restored over an old one.
pub fn cut_file_creation(seed: u64, counts: &mut Counts) -> Result<(), String> {
    let mut random = Rand64::new(u128::from(seed));
    let text = |error: StoreError| format!("seed {seed}: {error}");
    let sound = Disk::default();
    Store::create(&sound, FILE).map_err(text)?;
    cut_create(seed, sound.operations(), &mut random, counts)?;
    // Two sound states: the one in use, and the backup.
    let mut number = 0;
    let old = fill(&sound, &mut random, &mut number).map_err(text)?;
    let backup = Disk::default();
    Store::create(&backup, FILE).map_err(text)?;
    let new = fill(&backup, &mut random, &mut number).map_err(text)?;
    let restore = |disk: &Disk| Store::open(&backup, FILE)?.snapshot()?.copy_to(disk, FILE);
    let trial = sound.copy();
    restore(&trial).map_err(text)?;
    for at in 0..=trial.operations() {
        let disk = sound.copy();
        disk.arm(at, Fault::Cut);
        let acknowledged = restore(&disk).is_ok();
        let wreck = disk.after_power_cut(&mut random);
        counts.cuts += 1;
        let found = Store::open(&wreck, FILE).map_err(text).and_then(|store| durable(&store));
        match found {
            Ok(found) if found == new || (found == old && !acknowledged) => {}
            other => return Err(format!("seed {seed}, restoring a backup, cut at {at}: {other:?}")),
        }
    }
    Ok(())
}

/// Writes one batch into a new state and returns what is then durable.
fn fill(disk: &Disk, random: &mut Rand64, number: &mut u64) -> Result<Durable, StoreError> {
    let mut store = Store::open(disk, FILE)?;
    let batch = draw_batch(random, number, &BTreeSet::new());
    store.write(&batch)?;
    Ok(after(&Durable::default(), &batch))
}

fn cut_create(seed: u64, operations: u64, random: &mut Rand64, counts: &mut Counts) -> Result<(), String> {
    for at in 0..=operations {
        let disk = Disk::default();
        disk.arm(at, Fault::Cut);
        let acknowledged = Store::create(&disk, FILE).is_ok();
        let wreck = disk.after_power_cut(random);
        counts.cuts += 1;
        match Store::open(&wreck, FILE) {
            Ok(store) if durable(&store)? == Durable::default() => {}
            Err(StoreError::Missing { .. }) if !acknowledged => {}
            other => return Err(format!("seed {seed}, making a state, cut at {at}: {other:?}")),
        }
    }
    Ok(())
}

/// Flips single bits of a file at rest: the restart finds the same state or reports that the file is damaged. Returns
/// how often it did that.
pub fn flip_bits(seed: u64, flips: u64) -> Result<u64, String> {
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
    let expected = durable(&Store::open(&disk, FILE).map_err(text)?)?;
    let closed = disk.bytes(FILE);
    let mut damaged = 0;
    for flip in 0..flips {
        let sound = if flip % 2 == 0 { &cut } else { &closed };
        let at = draw_byte(&mut random, sound);
        let mut bytes = sound.clone();
        bytes[at] ^= 1 << random.rand_range(0..8);
        let is_detected = open_flipped(bytes, &expected)
            .map_err(|problem| format!("seed {seed}: a flip in byte {at}{problem}"))?;
        damaged += u64::from(is_detected);
    }
    Ok(damaged)
}

/// Most of the file is empty pages: most flips go where there is something.
fn draw_byte(random: &mut Rand64, bytes: &[u8]) -> usize {
    let mut at = random.rand_range(0..bytes.len() as u64) as usize;
    while bytes[at] == 0 && random.rand_range(0..64) != 0 {
        at = random.rand_range(0..bytes.len() as u64) as usize;
    }
    at
}

/// Whether a file is found to be damaged, and left as it is; if not, it has to have the expected content.
fn open_flipped(bytes: Vec<u8>, expected: &Durable) -> Result<bool, String> {
    let disk = Disk::default();
    disk.put(FILE, bytes.clone());
    match Store::open(&disk, FILE) {
        Ok(store) => match durable(&store)? {
            found if found == *expected => Ok(false),
            found => Err(format!(" is taken for {found:?}")),
        },
        Err(StoreError::Corrupt { .. }) if disk.bytes(FILE) == bytes => Ok(true),
        Err(StoreError::Corrupt { .. }) => Err(": repaired".into()),
        Err(error) => Err(format!(": {error}")),
    }
}
