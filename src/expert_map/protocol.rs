//! What the coordinator, the ranks' agents, their engines and the key-value service say to each
//! other when a group changes its expert map; docs/EXPERT_MAPS.md gives the proof.

/// Life names one run of a process; a process that starts again has another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Life(pub u64);

/// Incarnation counts the groups of ranks that were formed under one name; a rank's death ends
/// one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

/// Number orders the attempts to change the map within an incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Number(pub u64);

impl Number {
    /// Returns the next number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Version names one expert map: the number that its switch claimed in the group's record, so no
/// two maps share one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// Step counts the steps of an incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Step(pub u64);

/// Fence orders the coordinators' orders: an agent passes none that is older than the newest
/// that it has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fence {
    /// The group that the order is meant for.
    pub incarnation: Incarnation,
    /// The fencing number.
    pub number: Number,
    /// The coordinator that gave the order.
    pub coordinator: Life,
}

impl Fence {
    /// Tells whether an order under this fence may pass where `promised` is the newest seen.
    pub fn passes(&self, promised: &Self) -> bool {
        let newest = (promised.incarnation, promised.number);
        (self.incarnation, self.number) > newest || self == promised
    }
}

/// Record is what the key-value service holds of a group, changed only by compare-and-swap.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Record {
    /// The generation of the group's resource at which its ranks last changed.
    pub generation: u64,
    /// The present group of ranks.
    pub incarnation: Incarnation,
    /// The highest number claimed.
    pub number: Number,
    /// The map that a new incarnation starts with.
    pub version: Version,
    /// Who wrote the record, to settle a swap whose answer was lost.
    pub writer: Life,
}

/// Stored is the record with the revision that the next swap compares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// The record; the default where the service holds none.
    pub record: Record,
    /// Its revision; zero where the service holds none.
    pub revision: u64,
}

/// Switch is a change of the map at a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switch {
    /// The number that it was ordered under.
    pub number: Number,
    /// The new map.
    pub version: Version,
    /// The first step on the new map.
    pub step: Step,
}

/// Armed is a switch that an engine has accepted. The engine holds before the switch's step
/// until the switch is released or aborted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Armed {
    /// The switch.
    pub switch: Switch,
    /// True when the engine may take the step on the new map.
    pub released: bool,
}

/// EngineStatus is what an engine says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineStatus {
    /// The run of the engine.
    pub life: Life,
    /// The group that it has joined; zero for none.
    pub incarnation: Incarnation,
    /// The step that it begins next.
    pub next_step: Step,
    /// The map in use.
    pub version: Version,
    /// The map whose weights it has loaded besides.
    pub prepared: Option<Version>,
    /// The switch that it has accepted.
    pub armed: Option<Armed>,
    /// The number of the last switch that it took.
    pub last_taken: Number,
    /// The newest fence that it has seen; the default where it does not check fences.
    pub newest: Fence,
}

impl EngineStatus {
    /// Tells whether the engine took a switch, or was released to take it.
    pub fn is_released(&self, number: Number) -> bool {
        let released = |armed: Armed| armed.released && armed.switch.number == number;
        self.last_taken == number || self.armed.is_some_and(released)
    }

    /// Returns the switch that the engine holds for.
    pub fn holds_for(&self) -> Option<Switch> {
        self.armed.filter(|armed| !armed.released).map(|armed| armed.switch)
    }
}

/// Command is what a coordinator wants of a rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Say how the engine stands, and pass no older order from now on.
    Query,
    /// Join the order's incarnation on a map.
    Join {
        /// The engine that is meant.
        engine: Life,
        /// The map to start with.
        version: Version,
    },
    /// Load the weights of a map.
    Prepare(Version),
    /// Accept a switch.
    Arm(Switch),
    /// Take the accepted switch with this number.
    Release(Number),
    /// Forget the accepted switch with this number.
    Abort(Number),
}

/// Order is a command from a coordinator to the agent of a rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Who orders, and under which number.
    pub fence: Fence,
    /// The run of the agent that is meant; any run answers a query.
    pub to: Life,
    /// What to do.
    pub command: Command,
}

/// Report is an agent's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// The rank.
    pub rank: usize,
    /// The run of the agent.
    pub life: Life,
    /// The fence of the order that is answered.
    pub fence: Fence,
    /// The newest fence that the agent has seen; the order was refused where it differs.
    pub promised: Fence,
    /// Counts the reports of one run of the agent.
    pub sequence: u64,
    /// How the engine stood after the order.
    pub status: EngineStatus,
}

/// EngineOrder is a command that an agent passes to its engine. The engine carries orders out one
/// after another, and none of a connection that the agent has closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Counts the orders of one run of the agent.
    pub sequence: u64,
    /// The fence, for engines that check it.
    pub fence: Fence,
    /// What to do.
    pub command: Command,
}

/// StoreAnswer is the outcome of a call to the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// The record as it was read.
    Read(Stored),
    /// The swap was carried out at this revision.
    Swapped(u64),
    /// The record had another revision, and the swap was not carried out.
    Conflict,
    /// The call was not carried out.
    Unavailable,
    /// The call may have been carried out.
    Unknown,
}

/// Safeguards switches the mechanisms that safety rests on, so that tests show what each of them
/// prevents. All are on in the daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Safeguards {
    /// Agents pass no order that is older than the newest they have seen.
    pub fencing: bool,
    /// Agents pass only orders that are meant for their own run.
    pub lives: bool,
    /// A switch is released only after every rank has armed it.
    pub all_armed: bool,
    /// A coordinator that comes back goes forward where a rank was released.
    pub forward: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self { fencing: true, lives: true, all_armed: true, forward: true }
    }
}
