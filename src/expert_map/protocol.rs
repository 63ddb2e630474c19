//! Messages that the coordinator, the ranks' agents, their engines and the key-value service
//! exchange when a group changes its expert map; docs/EXPERT_MAPS.md gives the proof.

/// ProcessIncarnation identifies one run of a process; a restarted process has a different one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessIncarnation(pub u64);

/// GroupIncarnation counts how often a group of ranks has formed under its name; an incarnation
/// ends when any of its ranks fails.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupIncarnation(pub u64);

/// FencingNumber orders the coordinators' surveys and switches within a group incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// Returns the next higher number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Version identifies one expert map. It is the fencing number that the map's switch claimed in
/// the group's record, so no two maps share a version.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// Step counts the steps of a group incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Step(pub u64);

/// Fence is the fencing token of an order: an agent refuses every order whose fence is older than
/// the newest one that it has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fence {
    /// The group incarnation that the order is for.
    pub group_incarnation: GroupIncarnation,
    /// The fencing number.
    pub number: FencingNumber,
    /// The coordinator process that gave the order.
    pub coordinator: ProcessIncarnation,
}

impl Fence {
    /// Returns true if an agent whose newest fence is `promised` accepts an order with this fence.
    pub fn passes(&self, promised: &Self) -> bool {
        let newest = (promised.group_incarnation, promised.number);
        (self.group_incarnation, self.number) > newest || self == promised
    }
}

/// Record is the group's state in the key-value service, changed only by compare-and-swap.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Record {
    /// The generation of the group's resource at which its ranks last changed.
    pub generation: u64,
    /// The current incarnation of the group.
    pub group_incarnation: GroupIncarnation,
    /// The highest fencing number claimed.
    pub number: FencingNumber,
    /// The map that a new group incarnation starts with.
    pub version: Version,
    /// The coordinator process that claimed `number`; it identifies the writer if the answer to a
    /// swap was lost. A starting agent uses it, with `group_incarnation` and `number`, as its
    /// newest fence.
    pub writer: ProcessIncarnation,
}

/// Stored is the record with its revision, which the next swap compares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// The record; the default value if the service holds none.
    pub record: Record,
    /// The record's revision; zero if the service holds none.
    pub revision: u64,
}

/// Switch is a change of the map that takes effect at one step on all ranks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switch {
    /// The fencing number under which the switch was ordered.
    pub number: FencingNumber,
    /// The new map.
    pub version: Version,
    /// The first step on the new map.
    pub step: Step,
}

/// Armed is a switch that an engine has accepted. The engine does not begin the switch's step
/// until the switch is released or disarmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Armed {
    /// The accepted switch.
    pub switch: Switch,
    /// True if the engine may begin the step on the new map.
    pub released: bool,
}

/// EngineStatus is an engine's report of its own state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineStatus {
    /// The incarnation of the engine process.
    pub process_incarnation: ProcessIncarnation,
    /// The group incarnation that the engine has joined; zero if none.
    pub group_incarnation: GroupIncarnation,
    /// The step that the engine begins next.
    pub next_step: Step,
    /// The map in use.
    pub version: Version,
    /// The map whose weights are loaded in addition to those in use.
    pub prepared: Option<Version>,
    /// The switch that the engine has accepted and not yet made.
    pub armed: Option<Armed>,
    /// The number of the last switch that the engine made.
    pub last_taken: FencingNumber,
    /// The newest fence that the engine has seen; the default value if it does not check fences.
    pub newest_fence: Fence,
}

impl EngineStatus {
    /// Returns true if the engine has made the switch with this number, or may make it.
    pub fn is_released(&self, number: FencingNumber) -> bool {
        let released = |armed: Armed| armed.released && armed.switch.number == number;
        self.last_taken == number || self.armed.is_some_and(released)
    }

    /// Returns the armed switch that is not yet released, so that the engine stops before its step.
    pub fn held_switch(&self) -> Option<Switch> {
        self.armed.filter(|armed| !armed.released).map(|armed| armed.switch)
    }
}

/// Command is what a coordinator orders a rank to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Report the engine's status, and refuse older orders from now on.
    Query,
    /// Join the order's group incarnation with a map.
    Join {
        /// The engine process that is to join; another one refuses the order.
        engine: ProcessIncarnation,
        /// The map to start with.
        version: Version,
    },
    /// Load the weights of a map in addition to those in use.
    Prepare(Version),
    /// Accept a switch, and stop before its step.
    Arm(Switch),
    /// Make the armed switch with this number.
    Release(FencingNumber),
    /// Forget the armed switch with this number.
    Disarm(FencingNumber),
}

/// Order is a command from a coordinator to the agent of a rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The fencing token of the order.
    pub fence: Fence,
    /// The agent process that the order is for; every agent process answers a query.
    pub to: ProcessIncarnation,
    /// The command to carry out.
    pub command: Command,
}

/// Report is an agent's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Index of the rank in its group.
    pub rank: usize,
    /// The incarnation of the agent process.
    pub process_incarnation: ProcessIncarnation,
    /// The fence of the order that is answered.
    pub fence: Fence,
    /// The newest fence that the agent has seen; if it differs from `fence`, the order was refused.
    pub promised: Fence,
    /// Counts the reports of one agent process.
    pub sequence: u64,
    /// The engine's status after the order.
    pub status: EngineStatus,
}

/// EngineOrder is a command that an agent passes to its engine. The engine carries out one order
/// after another, and drops the orders of a connection that the agent has closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Counts the orders of one agent process.
    pub sequence: u64,
    /// The fencing token, for engines that check it.
    pub fence: Fence,
    /// The command to carry out.
    pub command: Command,
}

/// StoreAnswer is the result of a call to the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// The record was read.
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

/// Safeguards enables the mechanisms that safety depends on, so that tests can show what each of
/// them prevents. The daemons enable all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Safeguards {
    /// Agents refuse orders that are older than the newest one they have seen.
    pub fencing: bool,
    /// Agents refuse orders for an earlier incarnation of their process.
    pub incarnation_check: bool,
    /// A switch is released only after every rank has armed it.
    pub all_armed: bool,
    /// A restarted coordinator completes a switch for which any rank was released.
    pub roll_forward: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self { fencing: true, incarnation_check: true, all_armed: true, roll_forward: true }
    }
}
