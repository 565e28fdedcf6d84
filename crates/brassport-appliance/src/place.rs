//! The state directory: its files, and the lock that one process at a time holds.

use std::fs::{self, DirBuilder, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::{DirBuilderExt, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// The state, the control socket and the lock within the directory.
pub const STATE: &str = "state.redb";
pub const SOCKET: &str = "control.sock";
const LOCK: &str = "lock";
/// Most bytes of a Unix socket's path (`sun_path` of unix(7), with its end).
const SOCKET_PATH: usize = 107;

/// The directory of one appliance.
#[derive(Debug, Clone)]
pub struct Place {
    pub path: PathBuf,
}

/// Why the directory is not to be had.
#[derive(Debug)]
pub enum LockError {
    /// By the process of this number, if the file tells.
    Held(Option<u32>),
    Io(String),
}

/// While this lives no other process opens the state. The system gives it up when its process ends, however it ends:
/// a lock that a crash left behind is none.
#[derive(Debug)]
pub struct Lock {
    _file: File,
    /// The user that this process runs as.
    pub user: u32,
}

impl Place {
    pub fn new(path: &Path) -> Place {
        Place { path: path.to_path_buf() }
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Makes the directory, for its owner alone; one that is there stays as it is.
    ///
    /// # Errors
    /// What the system says.
    pub fn make(&self) -> io::Result<()> {
        DirBuilder::new().recursive(true).mode(0o700).create(&self.path)
    }

    /// The path of the control socket.
    ///
    /// # Errors
    /// It is too long for a socket.
    pub fn socket(&self) -> Result<PathBuf, String> {
        let path = self.file(SOCKET);
        let length = path.as_os_str().len();
        if length > SOCKET_PATH {
            return Err(format!(
                "{}: a socket's path has at most {SOCKET_PATH} bytes, this one {length}; choose a shorter --state",
                path.display()
            ));
        }
        Ok(path)
    }

    /// Takes the lock.
    ///
    /// # Errors
    /// Another process holds it, or the directory takes no file.
    pub fn lock(&self) -> Result<Lock, LockError> {
        let path = self.file(LOCK);
        let told = |error: io::Error| {
            let hint = match error.kind() {
                io::ErrorKind::NotFound => "; make the directory with `init`",
                io::ErrorKind::PermissionDenied => "; the directory must belong to who runs this program",
                _ => "",
            };
            LockError::Io(format!("cannot lock {}: {error}{hint}", path.display()))
        };
        let mut options = OpenOptions::new();
        let mut file = options.read(true).write(true).create(true).truncate(false).mode(0o600).open(&path);
        if let Ok(file) = &mut file {
            match file.try_lock() {
                Ok(()) => {}
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    let _ = file.read_to_string(&mut text);
                    return Err(LockError::Held(text.trim().parse().ok()));
                }
                Err(TryLockError::Error(error)) => return Err(told(error)),
            }
        }
        let mut file = file.map_err(told)?;
        let user = file.metadata().map_err(told)?.uid();
        let write = |file: &mut File| {
            file.set_len(0)?;
            file.rewind()?;
            writeln!(file, "{}", std::process::id())
        };
        // Who holds it is for people to read; the lock stands without, on a disk that is full too.
        let _ = write(&mut file);
        Ok(Lock { _file: file, user })
    }

    /// Whether another user may enter the directory.
    pub fn open_to_others(&self) -> bool {
        fs::metadata(&self.path).is_ok_and(|metadata| metadata.mode() & 0o077 != 0)
    }
}
