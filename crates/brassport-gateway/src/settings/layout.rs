//! The fields of the settings file, before validation. Unknown fields are ignored.

use schematic::{Config, ConfigLoader};
use std::collections::BTreeMap;

/// The fields of the file as parsed. The loader's error messages contain the name of this type (`PartialLayout`).
#[derive(Debug, Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
pub(super) struct Layout {
    pub(super) node: String,
    pub(super) ip: String,
    pub(super) zone: String,
    /// The zones in the order of their names, each with its region.
    pub(super) zones: BTreeMap<String, String>,
    pub(super) listen_on: BTreeMap<String, Option<String>>,
    pub(super) internal_ports: Vec<u16>,
    pub(super) seeds: Vec<String>,
    pub(super) first_start: bool,
    pub(super) counted: bool,
    pub(super) limits: BTreeMap<String, Option<f64>>,
    pub(super) data_folder: Option<String>,
    #[setting(default = 1.5)]
    pub(super) report_every_s: f64,
    pub(super) survive: BTreeMap<String, usize>,
    pub(super) bounds: Vec<String>,
    pub(super) reached_at: BTreeMap<String, String>,
}

impl Layout {
    /// Parses the text of a settings file.
    pub(super) fn parse(text: &str) -> Result<Layout, schematic::ConfigError> {
        let mut loader = ConfigLoader::<Layout>::new();
        Ok(loader.code(text, "settings.yaml")?.load()?.config)
    }
}
