//! A door's name over its processes: which entry of the fleet the last process had, and whether the next one may say that
//! all before it are gone.

use rustix::fs::{flock, FlockOperation};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

const FILE: &str = "identity.json";
const LOCK: &str = "lock";

/// What a process leaves to the next one.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Identity {
    #[serde(skip)]
    folder: PathBuf,
    /// The entry of the process before, 0 if there was none, where all up to that one are gone.
    #[serde(skip)]
    pub behind: Option<u64>,
    /// The lock's file. A copy of the directory has another.
    lock: (u64, u64),
    /// This process's entry, whether that says that it is alone, and whether it had a right to act.
    pub entry: Option<u64>,
    pub alone: bool,
    pub had_one: bool,
}

/// Holds a directory for as long as it lives.
#[derive(Debug)]
pub struct Held(#[allow(dead_code, reason = "the lock goes with it")] File);

/// Takes a directory for this process.
///
/// # Errors
/// Another process has it, or it cannot be read.
pub fn take(folder: &Path) -> Result<(Held, Identity), String> {
    let fault = |name: &str, error: std::io::Error| format!("{}: {error}", folder.join(name).display());
    let mut options = OpenOptions::new();
    let lock = options.create(true).truncate(false).write(true).mode(0o600).open(folder.join(LOCK));
    let lock = lock.map_err(|error| fault(LOCK, error))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| format!("{} is in use by another process", folder.display()))?;
    let metadata = lock.metadata().map_err(|error| fault(LOCK, error))?;
    let place = (metadata.dev(), metadata.ino());
    let before = match fs::read(folder.join(FILE)) {
        Ok(bytes) => Some(serde_json::from_slice::<Identity>(&bytes).unwrap_or_default()),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => return Err(fault(FILE, error)),
    };
    let behind = match &before {
        None => Some(0),
        Some(before) if before.lock == place && (before.alone || before.had_one) => before.entry,
        Some(_) => None,
    };
    let identity = Identity { folder: folder.into(), behind, lock: place, ..before.unwrap_or_default() };
    Ok((Held(lock), identity))
}

impl Identity {
    /// Writes it, durable when this returns.
    ///
    /// # Errors
    /// One plain line.
    pub fn write(&self) -> Result<(), String> {
        let new = self.folder.join("identity.new");
        let bytes = serde_json::to_vec(self).map_err(|error| error.to_string())?;
        let written = File::create(&new)
            .and_then(|mut file| file.write_all(&bytes).and_then(|()| file.sync_all()))
            .and_then(|()| fs::rename(&new, self.folder.join(FILE)))
            .and_then(|()| File::open(&self.folder)?.sync_all());
        written.map_err(|error| format!("{}: {error}", self.folder.join(FILE).display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("brassport-identity-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    #[test]
    fn a_successor_is_alone_in_the_same_directory_and_not_in_a_copy_of_it() {
        let (here, copy) = (folder("here"), folder("copy"));
        let (held, mut first) = take(&here).expect("nobody has it");
        assert_eq!(first.behind, Some(0));
        assert!(take(&here).expect_err("it is held").contains("in use"));
        (first.entry, first.alone) = (Some(7), true);
        first.write().expect("it is written");
        fs::copy(here.join(FILE), copy.join(FILE)).expect("copied");
        assert_eq!(take(&copy).expect("nobody has the copy").1.behind, None);
        drop(held);
        assert_eq!(take(&here).expect("nobody has it").1.behind, Some(7));
    }

    #[test]
    fn behind_one_that_had_to_wait_in_vain_the_next_has_to_wait_too() {
        let here = folder("wait");
        let (held, mut first) = take(&here).expect("nobody has it");
        (first.entry, first.alone, first.had_one) = (Some(7), false, false);
        first.write().expect("it is written");
        drop(held);
        assert_eq!(take(&here).expect("nobody has it").1.behind, None);
    }
}
