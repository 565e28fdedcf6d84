//! What the site plans for later, beside what the wire brings.

/// What a script's event is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u32)]
pub enum Kind {
    /// A request is sent for the first time.
    RequestDue,
    /// A client's patience is over.
    PatienceOver,
    /// A client leaves before that.
    ClientLeaves,
    /// A client tries again.
    TryAgain,
    /// A node has finished a request.
    JobDone,
    /// A watch on the list has waited as long as it asked to.
    WatchOver,
    /// An answer of discovery's that was held back.
    LateAnswer,
    /// Discovery hears of a revision.
    RevisionTold,
    /// A fault strikes.
    FaultBegins,
    /// A fault is over.
    FaultEnds,
    /// A node that drained is gone.
    NodeGone,
    /// A door starts again.
    DoorStarts,
    /// Nothing, but time goes on.
    Tick,
}

pub const KINDS: [Kind; 13] = [
    Kind::RequestDue,
    Kind::PatienceOver,
    Kind::ClientLeaves,
    Kind::TryAgain,
    Kind::JobDone,
    Kind::WatchOver,
    Kind::LateAnswer,
    Kind::RevisionTold,
    Kind::FaultBegins,
    Kind::FaultEnds,
    Kind::NodeGone,
    Kind::DoorStarts,
    Kind::Tick,
];
