//! An instance's directory: what it is told once, its key, its log.

use crate::call::Site;
use crate::log::{Disk, Log};
use crate::seal::Key;
use brassport_fleet::grants::Terms;
use brassport_state::files::Directory;
use brassport_state::log::{Image, LogStore, Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::net::SocketAddr;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

const SETTINGS: &str = "fleet.json";
const KEY: &str = "key";
const LOG: &str = "log.redb";

/// What a directory says of its instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The name by which others know it; a door's name, if it has a door.
    pub name: String,
    /// A voter's number; none: it follows.
    #[serde(default)]
    pub id: Option<u64>,
    /// Where a voter listens.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Instances that its door, and commands, ask.
    pub through: Vec<SocketAddr>,
    /// Addresses of voters, by number, that go before those that they tell: tunnels, translated addresses.
    #[serde(default)]
    pub routes: BTreeMap<u64, SocketAddr>,
    /// Addresses of voters, by number, as they were told when it joined: until its log tells them.
    #[serde(default)]
    pub told: BTreeMap<u64, SocketAddr>,
    #[serde(default)]
    pub terms: Terms,
}

/// A directory.
#[derive(Debug, Clone)]
pub struct Place(pub PathBuf);

/// The log's file.
pub struct OnDisk(LogStore);

impl Disk for OnDisk {
    fn write(&mut self, write: &Write) -> Result<(), String> {
        self.0.write(write).map_err(|error| error.to_string())
    }
}

impl Place {
    fn fault(&self, name: &str) -> impl Fn(std::io::Error) -> String + '_ {
        let path = self.0.join(name).display().to_string();
        move |error| format!("{path}: {error}")
    }

    /// Makes the directory, with a new key or this one.
    ///
    /// # Errors
    /// It is there already, or cannot be made.
    pub fn make(&self, settings: &Settings, key: &str) -> Result<(), String> {
        Key::parse(key)?;
        if self.0.join(SETTINGS).exists() {
            return Err(format!(
                "{} is there already, and is left as it is",
                self.0.join(SETTINGS).display()
            ));
        }
        let folder = fs::DirBuilder::new().recursive(true).mode(0o700).create(&self.0);
        folder.map_err(self.fault(""))?;
        let write = |name: &str, bytes: &[u8]| {
            let mut options = OpenOptions::new();
            let file = options.create(true).truncate(true).write(true).mode(0o600).open(self.0.join(name));
            file.and_then(|mut file| file.write_all(bytes).and_then(|()| file.sync_all()))
                .map_err(self.fault(name))
        };
        write(KEY, format!("{}\n", key.trim()).as_bytes())?;
        if settings.id.is_some() {
            let files = Directory::open(&self.0).map_err(self.fault(""))?;
            LogStore::create(&files, LOG).map_err(|error| error.to_string())?;
        }
        let text = serde_json::to_string_pretty(settings).map_err(|error| error.to_string())?;
        // Last: without it the directory is none.
        write(SETTINGS, text.as_bytes())
    }

    /// # Errors
    /// One plain line, with the way out.
    pub fn settings(&self) -> Result<Settings, String> {
        let text = fs::read_to_string(self.0.join(SETTINGS)).map_err(|error| {
            format!(
                "{}: {error}; make the directory with `init`, `join` or `follow`",
                self.0.join(SETTINGS).display()
            )
        })?;
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", self.0.join(SETTINGS).display()))
    }

    /// # Errors
    /// One plain line.
    pub fn site(&self, name: &str) -> Result<Site, String> {
        let text = fs::read_to_string(self.0.join(KEY)).map_err(self.fault(KEY))?;
        let key =
            Key::parse(&text).map_err(|problem| format!("{}: {problem}", self.0.join(KEY).display()))?;
        Ok(Site { key, name: name.to_string() })
    }

    /// Opens the log.
    ///
    /// # Errors
    /// What is wrong with it, and the way out.
    pub fn open(&self) -> Result<(OnDisk, Image), String> {
        let files = Directory::open(&self.0).map_err(self.fault(""))?;
        let (store, image) = LogStore::open(&files, LOG).map_err(|error| error.to_string())?;
        Ok((OnDisk(store), image))
    }

    /// Begins a fleet: this voter is its first, and the only one until others join.
    ///
    /// # Errors
    /// As [`Place::open`].
    pub fn begin(&self, id: u64) -> Result<(), String> {
        self.open()?.0.write(&Log::first(id))
    }

    /// Goes on alone behind a majority that is lost for good.
    ///
    /// # Errors
    /// As [`Place::open`], or the log is empty.
    pub fn recover(&self, id: u64) -> Result<(), String> {
        let (mut disk, image) = self.open()?;
        if image == Image::default() {
            return Err("this instance never joined: there is nothing to go on from".into());
        }
        disk.write(&Log::read(&image)?.recovered(id))
    }
}

/// Reads a key's file.
///
/// # Errors
/// One plain line.
pub fn key_of(file: &Path) -> Result<String, String> {
    fs::read_to_string(file).map_err(|error| {
        format!(
            "{}: {error}; copy the file `key` from the directory of the fleet's first instance",
            file.display()
        )
    })
}
