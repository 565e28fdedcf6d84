//! Operation of a running gateway: the admin listener, metrics, the settings in force and upgrades.

pub mod active_settings;
pub mod admin;
pub mod handover;
pub mod metrics;
