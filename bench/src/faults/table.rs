//! The faults of the brief and the planned changes, each to be brought about and mended.

/// Something that happens to a fleet.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// A host with its agent and engine dies.
    HostDies,
    /// A host with its entry dies.
    EntryDies,
    /// An engine's process ends and starts again.
    EngineCrashes,
    /// An engine turns cold without a sign.
    EngineCold,
    /// The plain service ends after it ran a call and before it answers.
    ServiceCrashes,
    /// Chunks from the origin arrive corrupted.
    ChunksCorrupt,
    /// Chunks from the origin stop halfway.
    ChunksStall,
    /// The version that is served changes.
    VersionChanges,
    /// The platform refuses every call.
    PlatformDown,
    /// The platform answers late.
    PlatformSlow,
    /// The platform's answers to writes are lost after they took effect.
    AnswersLost,
    /// The platform's watches lose their history.
    WatchGaps,
    /// The platform's list of hosts shows an old state.
    ListLags,
    /// One zone loses the platform, the lease's holder perhaps among it.
    ZoneOffPlatform,
    /// One zone loses the platform and every other zone.
    ZoneOffAll,
    /// Two operators publish at the same time.
    OperatorsRace,
    /// A request crashes each engine that runs it, and its caller sends it again.
    PoisonRequest,
    /// Open connections to a host fall silent for good while new ones work.
    ConnectionsSilent,
    /// A link to a host stalls and later works again.
    LinkStalls,
    /// Operators take a zone out and bring it back.
    ZoneOut,
    /// An agent is stopped as planned and started again.
    AgentStops,
    /// An entry is stopped as planned and started again.
    EntryStops,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 22] = [
        Fault::HostDies,
        Fault::EntryDies,
        Fault::EngineCrashes,
        Fault::EngineCold,
        Fault::ServiceCrashes,
        Fault::ChunksCorrupt,
        Fault::ChunksStall,
        Fault::VersionChanges,
        Fault::PlatformDown,
        Fault::PlatformSlow,
        Fault::AnswersLost,
        Fault::WatchGaps,
        Fault::ListLags,
        Fault::ZoneOffPlatform,
        Fault::ZoneOffAll,
        Fault::OperatorsRace,
        Fault::PoisonRequest,
        Fault::ConnectionsSilent,
        Fault::LinkStalls,
        Fault::ZoneOut,
        Fault::AgentStops,
        Fault::EntryStops,
    ];
}

/// What one round brings about.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pair {
    /// The first fault.
    pub first: Fault,
    /// Comes while the first is there; `None` when the first comes alone.
    pub second: Option<Fault>,
}

/// Every fault alone, then each with every other and with itself.
pub fn all_pairs() -> Vec<Pair> {
    let mut pairs: Vec<Pair> =
        Fault::ALL.iter().map(|first| Pair { first: *first, second: None }).collect();
    for (index, first) in Fault::ALL.iter().enumerate() {
        for second in &Fault::ALL[index..] {
            pairs.push(Pair { first: *first, second: Some(*second) });
        }
    }
    pairs
}
