//! The faults and planned changes that rounds inject.

/// A fault or planned change that a round injects into a fleet and then reverts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// A host that runs an agent crashes, and its engine with it.
    HostDies,
    /// A host that runs an entry crashes.
    EntryDies,
    /// An engine process crashes and restarts.
    EngineCrashes,
    /// An engine loses its loaded weights without reporting it.
    EngineCold,
    /// The plain service crashes after it has run a request and before it replies.
    ServiceCrashes,
    /// Chunks from the origin arrive corrupted.
    ChunksCorrupt,
    /// Chunk transfers from the origin stall halfway.
    ChunksStall,
    /// Operators change the version that is served.
    VersionChanges,
    /// The platform rejects every call.
    PlatformDown,
    /// The platform replies late.
    PlatformSlow,
    /// Replies of the platform to writes are lost after the writes took effect.
    AnswersLost,
    /// Watches on the platform lose their change history.
    WatchGaps,
    /// The host list of the platform is stale.
    ListLags,
    /// One zone is cut off from the platform, possibly the zone of the lease holder.
    ZoneOffPlatform,
    /// One zone is cut off from the platform and from every other zone.
    ZoneOffAll,
    /// Two operators publish at the same time.
    OperatorsRace,
    /// A request crashes every engine that runs it, and its caller retries it.
    PoisonRequest,
    /// Open connections to a host stop carrying data for good, while new connections work.
    ConnectionsSilent,
    /// The link to a host drops all traffic and recovers later.
    LinkStalls,
    /// Operators take a zone out of service and bring it back.
    ZoneOut,
    /// An agent is shut down gracefully and started again.
    AgentStops,
    /// An entry is shut down gracefully and started again.
    EntryStops,
}

impl Fault {
    /// Every fault, in the order of declaration.
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

/// The faults that one round injects.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pair {
    /// The fault that is injected first.
    pub first: Fault,
    /// Injected while `first` is active; `None` for a round with a single fault.
    pub second: Option<Fault>,
}

/// Returns every fault alone, then every unordered pair of faults, including a fault with itself.
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
