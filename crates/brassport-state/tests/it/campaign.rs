//! Test campaigns that cut the power at every operation or flip bits, and compare the recovered state with the model.

use crate::disk::{Disk, Fault};
use crate::draw::{after, draw_batch, durable, Durable};
use brassport_state::store::{Batch, Store, StoreError};
use oorandom::Rand64;
use std::collections::BTreeSet;

/// The name of the state or log file on the simulated disk.
pub const FILE: &str = "state.redb";

/// Statistics of a campaign.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub histories: u64,
    pub batches: u64,
    pub cuts: u64,
    /// Power cuts after which only the acknowledged batches were durable.
    pub recovered_old: u64,
    /// Power cuts after which a batch that was not acknowledged was durable, too.
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

/// Two batches that one simulated run of the program writes.
struct Run {
    batches: [Batch; 2],
    /// The durable content after 0, 1 and 2 batches. With `n` batches acknowledged, a restart must find element `n` or
    /// a later one.
    durable: [Durable; 3],
}

/// A run that failed before both batches were acknowledged.
struct Interrupted {
    acknowledged: usize,
    error: StoreError,
}

impl Run {
    fn draw(random: &mut Rand64, number: &mut u64, old: Durable) -> Run {
        // Only requests of the same run are in flight. A restart turns all earlier ones into unfinished requests, which
        // `Batch::ended` does not remove.
        let first = draw_batch(random, number, &BTreeSet::new());
        let in_flight = first.sending.iter().map(|sent| sent.request.clone()).collect();
        let second = draw_batch(random, number, &in_flight);
        let middle = after(&old, &first);
        let new = after(&middle, &second);
        Run { batches: [first, second], durable: [old, middle, new] }
    }

    /// Writes both batches and returns the number of acknowledged batches.
    fn execute(&self, disk: &Disk) -> Result<usize, Interrupted> {
        let interrupted = |acknowledged| move |error| Interrupted { acknowledged, error };
        let mut store = Store::open(disk, FILE).map_err(interrupted(0))?;
        for (acknowledged, batch) in self.batches.iter().enumerate() {
            store.write(batch).map_err(interrupted(acknowledged))?;
        }
        Ok(self.batches.len())
    }
}

/// Cuts the power at every operation of every run of a seeded history and compares the state after a restart with the
/// model. Each cut loses a different random subset of the unsynced writes. The next run of the history continues from
/// one of the recovered disks, chosen at random.
pub fn cut_every_operation(seed: u64, counts: &mut Counts) -> Result<(), String> {
    let mut random = Rand64::new(u128::from(seed));
    let text = |error: StoreError| format!("seed {seed}: {error}");
    let mut initial = Disk::default();
    Store::create(&initial, FILE).map_err(text)?;
    let mut old = Durable::default();
    let mut number = 0;
    counts.histories += 1;
    for step in 0..random.rand_range(1..5) {
        let run = Run::draw(&mut random, &mut number, old);
        counts.batches += 2;
        let uninterrupted = initial.copy();
        run.execute(&uninterrupted).map_err(|interrupted| text(interrupted.error))?;
        let operations = uninterrupted.operations();
        let mut recovered_disks = Vec::new();
        for at in 0..=operations {
            let position = format!("seed {seed}, step {step}, cut at operation {at} of {operations}");
            let recovered = cut_run(&run, &initial, at, &mut random, counts);
            recovered_disks.push(recovered.map_err(|problem| format!("{position}{problem}"))?);
        }
        let chosen = random.rand_range(0..recovered_disks.len() as u64) as usize;
        (initial, old) = recovered_disks.swap_remove(chosen);
    }
    Ok(())
}

/// Cuts the power at one operation of a run. Returns the disk after the power cut and the content that a restart finds.
fn cut_run(
    run: &Run,
    initial: &Disk,
    at: u64,
    random: &mut Rand64,
    counts: &mut Counts,
) -> Result<(Disk, Durable), String> {
    let disk = initial.copy();
    disk.schedule_fault(at, Fault::PowerCut);
    let acknowledged = run.execute(&disk).unwrap_or_else(|interrupted| interrupted.acknowledged);
    let recovered = disk.after_power_cut(random);
    let found = Store::open(&recovered, FILE).map_err(|error| format!(": {error}"))?;
    let found = durable(&found)?;
    let allowed = &run.durable[acknowledged..];
    let Some(which) = allowed.iter().position(|allowed| *allowed == found) else {
        return Err(format!(
            ", {acknowledged} batches acknowledged: found {found:?}, expected one of {allowed:?}"
        ));
    };
    counts.cuts += 1;
    match which {
        0 => counts.recovered_old += 1,
        _ => counts.recovered_new += 1,
    }
    Ok((recovered, found))
}

/// Cuts the power at every operation of creating a file: a new state, and a backup restored over an existing state.
pub fn cut_file_creation(seed: u64, counts: &mut Counts) -> Result<(), String> {
    let mut random = Rand64::new(u128::from(seed));
    let text = |error: StoreError| format!("seed {seed}: {error}");
    let in_use = Disk::default();
    Store::create(&in_use, FILE).map_err(text)?;
    cut_create(seed, in_use.operations(), &mut random, counts)?;
    // Two valid states: the one in use and the backup.
    let mut number = 0;
    let old = fill(&in_use, &mut random, &mut number).map_err(text)?;
    let backup = Disk::default();
    Store::create(&backup, FILE).map_err(text)?;
    let new = fill(&backup, &mut random, &mut number).map_err(text)?;
    let restore = |disk: &Disk| Store::open(&backup, FILE)?.snapshot()?.copy_to(disk, FILE);
    let uninterrupted = in_use.copy();
    restore(&uninterrupted).map_err(text)?;
    for at in 0..=uninterrupted.operations() {
        let disk = in_use.copy();
        disk.schedule_fault(at, Fault::PowerCut);
        let acknowledged = restore(&disk).is_ok();
        let recovered = disk.after_power_cut(&mut random);
        counts.cuts += 1;
        let found = Store::open(&recovered, FILE).map_err(text).and_then(|store| durable(&store));
        match found {
            Ok(found) if found == new || (found == old && !acknowledged) => {}
            other => return Err(format!("seed {seed}, restoring a backup, cut at {at}: {other:?}")),
        }
    }
    Ok(())
}

/// Writes one batch into a new state and returns the expected durable content.
fn fill(disk: &Disk, random: &mut Rand64, number: &mut u64) -> Result<Durable, StoreError> {
    let mut store = Store::open(disk, FILE)?;
    let batch = draw_batch(random, number, &BTreeSet::new());
    store.write(&batch)?;
    Ok(after(&Durable::default(), &batch))
}

/// Cuts the power at every operation of creating a new state.
fn cut_create(seed: u64, operations: u64, random: &mut Rand64, counts: &mut Counts) -> Result<(), String> {
    for at in 0..=operations {
        let disk = Disk::default();
        disk.schedule_fault(at, Fault::PowerCut);
        let acknowledged = Store::create(&disk, FILE).is_ok();
        let recovered = disk.after_power_cut(random);
        counts.cuts += 1;
        match Store::open(&recovered, FILE) {
            Ok(store) if durable(&store)? == Durable::default() => {}
            Err(StoreError::Missing { .. }) if !acknowledged => {}
            other => return Err(format!("seed {seed}, creating a state, cut at {at}: {other:?}")),
        }
    }
    Ok(())
}

/// Flips single bits of a file that is not open. A restart must find the same state or report a damaged file. Returns
/// the number of reported flips.
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
    // The file as a power cut leaves it (`cut`), and after a clean close (`closed`).
    let cut = disk.bytes(FILE);
    drop(store);
    let expected = durable(&Store::open(&disk, FILE).map_err(text)?)?;
    let closed = disk.bytes(FILE);
    let mut damaged = 0;
    for flip in 0..flips {
        let undamaged = if flip % 2 == 0 { &cut } else { &closed };
        let at = draw_byte(&mut random, undamaged);
        let mut bytes = undamaged.clone();
        bytes[at] ^= 1 << random.rand_range(0..8);
        let is_detected = open_flipped(bytes, &expected)
            .map_err(|problem| format!("seed {seed}: a flip in byte {at}{problem}"))?;
        damaged += u64::from(is_detected);
    }
    Ok(damaged)
}

/// Returns a random offset. Zero bytes are mostly skipped, as most of the file consists of empty pages.
fn draw_byte(random: &mut Rand64, bytes: &[u8]) -> usize {
    let mut at = random.rand_range(0..bytes.len() as u64) as usize;
    while bytes[at] == 0 && random.rand_range(0..64) != 0 {
        at = random.rand_range(0..bytes.len() as u64) as usize;
    }
    at
}

/// Opens a file and returns whether it is reported as damaged. It is an error if a damaged file is modified, or if a
/// file that opens does not have the expected content.
fn open_flipped(bytes: Vec<u8>, expected: &Durable) -> Result<bool, String> {
    let disk = Disk::default();
    disk.put(FILE, bytes.clone());
    match Store::open(&disk, FILE) {
        Ok(store) => match durable(&store)? {
            found if found == *expected => Ok(false),
            found => Err(format!(" was not detected, and the file read as {found:?}")),
        },
        Err(StoreError::Corrupt { .. }) if disk.bytes(FILE) == bytes => Ok(true),
        Err(StoreError::Corrupt { .. }) => Err(" was reported, but the file was modified".into()),
        Err(error) => Err(format!(": {error}")),
    }
}
