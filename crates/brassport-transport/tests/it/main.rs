//! Frames, links and peer sampling: their behaviour and their bytes.

// Golden tests of other packages include these two as well.

mod golden;
mod harness;
mod links;
mod peer_sampling;
