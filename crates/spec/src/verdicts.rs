//! Model of the verdict that a flow has no owner: one host, a few entry VMs, and a roster that
//! lists the host in some of its versions.
//!
//! An entry VM looks up the owner of a flow among the hosts that it knows. If it does not know
//! a live host, the lookup finds no owner for a flow of that host, and the flow is reset. The
//! model contains the versions of the roster (the host is added, removed after its departure or
//! by mistake, an older copy of the store is restored, other changes), the version that each
//! entry VM holds, the freshness of its view, registrations, restarts and settle times of entry
//! VMs, and one flow. Any packet may reach any entry VM at any time. A store that refuses an
//! entry VM, late registrations and lost messages are steps that do not happen.
//!
//! It contains no time. Two periods are replaced by what has to be true at their end: a listed
//! host is offered flows once every entry VM with a fresh view knows it, and a settle time ends
//! once a live host has registered or is listed in the view. A fresh view may be outdated for
//! any time.
//!
//! Rosters that name all owners are modelled as of a store that recorded its first era: silent
//! hosts stay listed, hosts in no roster get no flows, and the settle time is skipped unless the
//! store was restored. There every service has another host that all entry VMs know.
//!
//! In a variant of the model, the operators' configuration moves the only route of the host's
//! service to another one. Entry VMs learn it late, and offer the host no flows from then on; its
//! open flow stays where it is.
//!
//! Not modelled: replies to lookups (a live host that is asked always replies, the reply of one
//! that is gone is not required), the maximum age of flows, restarts of the host, writes that
//! arrive late (see the model of rosters), members, and how entry VMs order the versions before
//! and after a restore. No function of the core is called.

use crate::checker::SpecStep;

/// Mutation of the model: the guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VerdictMutation {
    /// All guards are in place.
    None,
    /// An entry VM forgets the registration of a host that a new version does not list.
    RegistrationForgotten,
    /// An entry VM forgets a host that a new version of the roster does not list any more,
    /// although the host has not announced its departure.
    VanishedHostForgotten,
    /// An entry VM forgets a host whose registration has lapsed.
    LapsedHostForgotten,
    /// A host in no roster is offered flows although it has not registered with every entry VM.
    OfferedWithoutRegistrations,
    /// A host in no roster is offered flows by an entry VM with a fresh view too.
    OfferedWithFreshView,
    /// An entry VM gives verdicts from its first fresh view after a start.
    FirstFreshViewJudges,
    /// An entry VM gives verdicts although its view is not fresh.
    StaleViewJudges,
    /// The settle time follows the start of an entry VM only, not the return of a fresh view.
    SettlesOnlyAtStart,
    /// A host does not register with all entry VMs as long as one of them holds a version that
    /// lists it.
    HostTrustsOldVersions,
    /// A listed host is offered flows at once.
    ListedHostOfferedAtOnce,
    /// A listed host is offered flows at once by an entry VM that has had no fresh view since
    /// its start.
    OfferedAtOnceAfterStart,
    /// A listed host is offered flows once every entry VM with a fresh view has the version that
    /// lists it or a later one.
    LaterVersionsCount,
    /// Where rosters name all owners, a silent host is removed while flows of it may live.
    SilentHostRemoved,
    /// Where rosters name all owners, a host in no roster is offered flows.
    UnlistedHostOffered,
    /// Rosters count as naming all owners after a restore of the store too.
    RestoreIgnored,
    /// An entry VM knows the hosts of services with a route only.
    UnroutedHostForgotten,
}

/// The route of the host's service, as of the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum RouteLife {
    /// It stays, in the basic model.
    Fixed,
    /// It is still there, and may be moved.
    Present,
    /// Another service has it.
    Moved,
}

/// Whether the rosters name every live host that may own flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OwnerCoverage {
    /// They may lack one.
    Partial,
    /// They do, unless the store was restored from an older copy.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum HostLife {
    NotStarted,
    Live,
    /// Has announced its departure.
    Departed,
    /// Has failed.
    Lost,
}

/// Progress of an entry VM towards its first verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum SettlePhase {
    /// It has had no fresh view since its start.
    Started,
    /// Its view became fresh less than the settle time ago.
    Settling,
    Settled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EntryVm {
    /// Version of the roster that it holds; `None` until it learns one.
    version: Option<usize>,
    has_fresh_view: bool,
    phase: SettlePhase,
    /// Whether it holds a registration of the host.
    is_registered: bool,
    /// Whether the host left its view without having announced its departure.
    is_remembered: bool,
    /// Whether the host has ever registered with this entry VM, also before a restart.
    was_registered: bool,
    /// Whether it holds the configuration that moved the route.
    knows_move: bool,
    /// Whether it leaves the host out of its view, in spite of its roster and registration.
    ignores_host: bool,
}

/// Whose flow an entry VM found to have no owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum JudgedFlow {
    LiveHost,
    DepartedHost,
    LostHost,
    /// Not the host's, which is live.
    Other,
}

impl JudgedFlow {
    fn description(self) -> &'static str {
        match self {
            Self::LiveHost => "a flow of the live host",
            Self::DepartedHost => "a flow of the departed host",
            Self::LostHost => "a flow of the lost host",
            Self::Other => "another flow",
        }
    }
}

/// State of the model with `ENTRY_VMS` entry VMs, each of which may be a tracker of the host, and
/// at most `MAX_VERSIONS` versions of the roster, including the initial one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct VerdictSpec<const ENTRY_VMS: usize, const MAX_VERSIONS: usize> {
    host: HostLife,
    /// Whether each version lists the host; the first `versions` elements count.
    listed: [bool; MAX_VERSIONS],
    versions: usize,
    coverage: OwnerCoverage,
    was_restored: bool,
    route: RouteLife,
    entry_vms: [EntryVm; ENTRY_VMS],
    has_flow: bool,
    verdict: Option<JudgedFlow>,
}

impl<const ENTRY_VMS: usize, const MAX_VERSIONS: usize> VerdictSpec<ENTRY_VMS, MAX_VERSIONS> {
    /// Returns the initial state, in which the host has not started and all entry VMs have
    /// settled with fresh views.
    pub fn start(coverage: OwnerCoverage) -> Self {
        let entry_vm = EntryVm {
            version: Some(0),
            has_fresh_view: true,
            phase: SettlePhase::Settled,
            is_registered: false,
            is_remembered: false,
            was_registered: false,
            knows_move: false,
            ignores_host: false,
        };
        Self {
            host: HostLife::NotStarted,
            listed: [false; MAX_VERSIONS],
            versions: 1,
            coverage,
            was_restored: false,
            route: RouteLife::Fixed,
            entry_vms: [entry_vm; ENTRY_VMS],
            has_flow: false,
            verdict: None,
        }
    }

    /// Returns the same state in the variant of the model in which the route may be moved.
    pub fn with_route_move(self) -> Self {
        Self {
            route: RouteLife::Present,
            ..self
        }
    }

    /// Returns whether no flow of a lost host has got a verdict of an entry VM after the route was
    /// moved. The search must find a violation.
    pub fn no_flow_of_lost_host_is_judged_after_a_move(&self) -> bool {
        self.route != RouteLife::Moved || self.no_flow_of_lost_host_is_judged()
    }

    /// Returns whether no entry VM has found a flow of the live host to have no owner.
    pub fn no_live_flow_is_judged(&self) -> bool {
        self.verdict != Some(JudgedFlow::LiveHost)
    }

    /// Returns whether no flow of a host that announced its departure has got a verdict so far.
    /// The search must find a violation.
    pub fn no_flow_of_departed_host_is_judged(&self) -> bool {
        self.verdict != Some(JudgedFlow::DepartedHost)
    }

    /// Returns whether no flow of a host that failed has got a verdict so far. The search must
    /// find a violation.
    pub fn no_flow_of_lost_host_is_judged(&self) -> bool {
        self.verdict != Some(JudgedFlow::LostHost)
    }

    /// Returns whether no other flow has got a verdict while the host lives and the newest
    /// roster does not list it. The search must find a violation.
    pub fn no_other_flow_is_judged_beside_unlisted_host(&self) -> bool {
        self.verdict != Some(JudgedFlow::Other) || self.is_listed(Some(self.newest()))
    }

    /// Returns whether the live host has no flow while it is in no version of the roster. The
    /// search must find a violation.
    pub fn unlisted_host_has_no_flow(&self) -> bool {
        !self.has_flow || self.listed.contains(&true)
    }

    /// Returns all possible next steps. A verdict is the last step.
    pub fn next(&self, mutation: VerdictMutation) -> Vec<SpecStep<Self>> {
        let mut steps = Vec::new();
        if self.verdict.is_some() {
            return steps;
        }
        self.host_steps(&mut steps);
        if self.route == RouteLife::Present {
            let mut state = self.clone();
            state.route = RouteLife::Moved;
            steps.push(step("a configuration moves the route".to_owned(), state));
        }
        if self.versions < MAX_VERSIONS {
            self.roster_steps(mutation, &mut steps);
        }
        for index in 0..ENTRY_VMS {
            self.learning_steps(index, mutation, &mut steps);
            self.configuration_steps(index, mutation, &mut steps);
            self.view_steps(index, mutation, &mut steps);
            self.registration_steps(index, mutation, &mut steps);
            self.flow_steps(index, mutation, &mut steps);
        }
        steps
    }

    fn newest(&self) -> usize {
        self.versions - 1
    }

    fn is_listed(&self, version: Option<usize>) -> bool {
        version.is_some_and(|version| self.listed[version])
    }

    // Returns whether the roster or a registration names the host to the entry VM.
    fn is_named(&self, entry_vm: &EntryVm) -> bool {
        self.is_listed(entry_vm.version) || entry_vm.is_registered
    }

    // Returns whether the host is in the view of the entry VM.
    fn is_in_view(&self, entry_vm: &EntryVm) -> bool {
        self.is_named(entry_vm) && !entry_vm.ignores_host
    }

    // Returns whether the entry VM holds the newest documents.
    fn is_current(&self, entry_vm: &EntryVm) -> bool {
        let has_configuration = self.route != RouteLife::Moved || entry_vm.knows_move;
        entry_vm.version == Some(self.newest()) && has_configuration
    }

    // Returns whether a lookup of the entry VM asks the host.
    fn is_known(&self, entry_vm: &EntryVm) -> bool {
        self.is_in_view(entry_vm) || entry_vm.is_remembered
    }

    fn host_steps(&self, steps: &mut Vec<SpecStep<Self>>) {
        let changes: &[(HostLife, &str)] = match self.host {
            HostLife::NotStarted => &[(HostLife::Live, "the host starts")],
            HostLife::Live if !self.has_flow => &[],
            HostLife::Live => &[
                (HostLife::Departed, "the host departs"),
                (HostLife::Lost, "the host fails"),
            ],
            HostLife::Departed | HostLife::Lost => &[],
        };
        for (life, label) in changes {
            let mut state = self.clone();
            state.host = *life;
            steps.push(step((*label).to_owned(), state));
        }
    }

    // Returns whether a host that is live may be removed from the roster.
    fn may_remove_live_host(&self, mutation: VerdictMutation) -> bool {
        self.coverage == OwnerCoverage::Partial || mutation == VerdictMutation::SilentHostRemoved
    }

    fn roster_steps(&self, mutation: VerdictMutation, steps: &mut Vec<SpecStep<Self>>) {
        let newest = self.newest();
        let is_listed = self.listed[newest];
        let mut write = |label: &str, lists: bool, is_restored: bool| {
            let mut state = self.clone();
            // Nothing depends on it otherwise.
            state.was_restored |= is_restored && state.coverage == OwnerCoverage::Full;
            state.listed[state.versions] = lists;
            state.versions += 1;
            steps.push(step(format!("{label} (version {})", newest + 1), state));
        };
        write("another change of the roster is written", is_listed, false);
        let has_writer = self
            .entry_vms
            .iter()
            .any(|entry_vm| entry_vm.is_registered && entry_vm.version == Some(newest));
        if !is_listed && has_writer && self.host == HostLife::Live {
            write("the host is added to the roster", true, false);
        }
        if is_listed && (self.host != HostLife::Live || self.may_remove_live_host(mutation)) {
            let mistaken = if self.host == HostLife::Live {
                " by mistake"
            } else {
                ""
            };
            write(
                &format!("the host is removed from the roster{mistaken}"),
                false,
                false,
            );
        }
        let older = &self.listed[..newest];
        if older.iter().any(|listed| *listed != is_listed) {
            let lists = if is_listed { "without" } else { "with" };
            write(
                &format!("an older copy {lists} the host is restored"),
                !is_listed,
                true,
            );
        }
    }

    fn learning_steps(
        &self,
        index: usize,
        mutation: VerdictMutation,
        steps: &mut Vec<SpecStep<Self>>,
    ) {
        let held = self.entry_vms[index].version;
        // From the store, or from another entry VM.
        let mut sources: Vec<usize> = self
            .entry_vms
            .iter()
            .filter_map(|entry_vm| entry_vm.version)
            .chain([self.newest()])
            .filter(|version| Some(*version) > held)
            .collect();
        sources.sort_unstable();
        sources.dedup();
        for version in sources {
            let mut state = self.clone();
            state.learn(index, version, mutation);
            steps.push(step(
                format!("entry VM {index} learns version {version}"),
                state,
            ));
        }
    }

    fn configuration_steps(
        &self,
        index: usize,
        mutation: VerdictMutation,
        steps: &mut Vec<SpecStep<Self>>,
    ) {
        if self.route != RouteLife::Moved || self.entry_vms[index].knows_move {
            return;
        }
        let was_in_view = self.is_in_view(&self.entry_vms[index]);
        let mut state = self.clone();
        state.entry_vms[index].knows_move = true;
        state.entry_vms[index].ignores_host = mutation == VerdictMutation::UnroutedHostForgotten;
        state.remember(index, was_in_view);
        let label = format!("entry VM {index} learns that the route was moved");
        steps.push(step(label, state));
    }

    fn learn(&mut self, index: usize, version: usize, mutation: VerdictMutation) {
        let was_in_view = self.is_in_view(&self.entry_vms[index]);
        self.entry_vms[index].version = Some(version);
        if mutation == VerdictMutation::RegistrationForgotten && !self.listed[version] {
            self.entry_vms[index].is_registered = false;
        }
        let is_forgotten = matches!(
            mutation,
            VerdictMutation::RegistrationForgotten | VerdictMutation::VanishedHostForgotten
        );
        self.remember(index, was_in_view && !is_forgotten);
    }

    // Remembers a host that was in the view until now and has left it without having announced
    // its departure.
    fn remember(&mut self, index: usize, was_in_view: bool) {
        let is_in_view = self.is_in_view(&self.entry_vms[index]);
        let entry_vm = &mut self.entry_vms[index];
        entry_vm.is_remembered |= was_in_view && self.host != HostLife::Departed;
        // A host in the view need not be remembered.
        entry_vm.is_remembered &= !is_in_view;
    }

    fn view_steps(&self, index: usize, mutation: VerdictMutation, steps: &mut Vec<SpecStep<Self>>) {
        let entry_vm = self.entry_vms[index];
        if entry_vm.has_fresh_view {
            let mut state = self.clone();
            state.entry_vms[index].has_fresh_view = false;
            steps.push(step(
                format!("the view of entry VM {index} becomes stale"),
                state,
            ));
        } else if self.is_current(&entry_vm) {
            let mut state = self.clone();
            let entry_vm = &mut state.entry_vms[index];
            entry_vm.has_fresh_view = true;
            entry_vm.phase = if self.names_all_owners(mutation) {
                SettlePhase::Settled
            } else {
                phase_with_fresh_view(entry_vm.phase, mutation)
            };
            steps.push(step(
                format!("the view of entry VM {index} becomes fresh"),
                state,
            ));
        }
        if entry_vm.phase != SettlePhase::Settled && self.may_settle(&entry_vm, mutation) {
            let mut state = self.clone();
            state.entry_vms[index].phase = SettlePhase::Settled;
            steps.push(step(
                format!("the settle time of entry VM {index} ends"),
                state,
            ));
        }
        let mut state = self.clone();
        state.entry_vms[index] = EntryVm {
            version: None,
            has_fresh_view: false,
            phase: SettlePhase::Started,
            is_registered: false,
            is_remembered: false,
            was_registered: entry_vm.was_registered,
            knows_move: false,
            ignores_host: false,
        };
        steps.push(step(format!("entry VM {index} restarts"), state));
    }

    // Returns whether the newest roster counts as naming every host that may own flows.
    fn names_all_owners(&self, mutation: VerdictMutation) -> bool {
        let is_original = !self.was_restored || mutation == VerdictMutation::RestoreIgnored;
        self.coverage == OwnerCoverage::Full && is_original
    }

    // Returns whether the settle time may end: the host has registered here, is listed in the
    // view, or does not live.
    fn may_settle(&self, entry_vm: &EntryVm, mutation: VerdictMutation) -> bool {
        let trusts_old_version = mutation == VerdictMutation::HostTrustsOldVersions
            && self
                .entry_vms
                .iter()
                .any(|entry_vm| self.is_listed(entry_vm.version));
        let is_named = self.is_named(entry_vm) || entry_vm.is_remembered;
        self.host != HostLife::Live || is_named || trusts_old_version
    }

    fn registration_steps(
        &self,
        index: usize,
        mutation: VerdictMutation,
        steps: &mut Vec<SpecStep<Self>>,
    ) {
        let entry_vm = self.entry_vms[index];
        if entry_vm.is_registered {
            let mut state = self.clone();
            state.entry_vms[index].is_registered = false;
            state.remember(index, mutation != VerdictMutation::LapsedHostForgotten);
            steps.push(step(
                format!("the registration at entry VM {index} lapses"),
                state,
            ));
        } else if self.host == HostLife::Live {
            let mut state = self.clone();
            let entry_vm = &mut state.entry_vms[index];
            entry_vm.is_registered = true;
            entry_vm.was_registered = true;
            entry_vm.is_remembered = false;
            steps.push(step(
                format!("the host registers with entry VM {index}"),
                state,
            ));
        }
    }

    fn flow_steps(&self, index: usize, mutation: VerdictMutation, steps: &mut Vec<SpecStep<Self>>) {
        if self.host == HostLife::Live && !self.has_flow && self.offers_flow(index, mutation) {
            let mut state = self.clone();
            state.has_flow = true;
            // Nothing depends on these from here on; equal values reduce the number of states.
            for entry_vm in &mut state.entry_vms {
                entry_vm.was_registered = true;
            }
            steps.push(step(
                format!("the host opens a flow offered by entry VM {index}"),
                state,
            ));
        }
        if let Some(judged) = self.judged_flow(index, mutation) {
            let mut state = self.clone();
            state.verdict = Some(judged);
            steps.push(step(
                format!(
                    "entry VM {index} finds no owner of {}",
                    judged.description()
                ),
                state,
            ));
        }
    }

    // Returns whether the entry VM offers a flow to the host. A flow that is opened later than
    // the first time this holds adds no violation, since an open flow stays open.
    fn offers_flow(&self, index: usize, mutation: VerdictMutation) -> bool {
        let entry_vm = &self.entry_vms[index];
        if entry_vm.knows_move {
            return false;
        }
        if self.is_listed(entry_vm.version) {
            return self.is_delay_over(entry_vm, mutation);
        }
        if self.coverage == OwnerCoverage::Full && mutation != VerdictMutation::UnlistedHostOffered
        {
            return false;
        }
        let has_registered_everywhere = self.entry_vms.iter().all(|other| other.was_registered)
            || mutation == VerdictMutation::OfferedWithoutRegistrations;
        let has_allowed_view =
            !entry_vm.has_fresh_view || mutation == VerdictMutation::OfferedWithFreshView;
        entry_vm.is_registered && has_registered_everywhere && has_allowed_view
    }

    // Returns whether the time for which a listed host is offered no flows may be over: every
    // entry VM with a fresh view knows the host.
    fn is_delay_over(&self, entry_vm: &EntryVm, mutation: VerdictMutation) -> bool {
        let has_no_delay = match mutation {
            VerdictMutation::ListedHostOfferedAtOnce => true,
            VerdictMutation::OfferedAtOnceAfterStart => entry_vm.phase == SettlePhase::Started,
            _ => false,
        };
        let is_told = |other: &EntryVm| {
            let has_later_version = mutation == VerdictMutation::LaterVersionsCount
                && other.version >= entry_vm.version;
            !other.has_fresh_view || self.is_known(other) || has_later_version
        };
        has_no_delay || self.entry_vms.iter().all(is_told)
    }

    // Returns the flow that the entry VM may find to have no owner, if it may give a verdict.
    fn judged_flow(&self, index: usize, mutation: VerdictMutation) -> Option<JudgedFlow> {
        let entry_vm = &self.entry_vms[index];
        let has_valid_view =
            entry_vm.has_fresh_view || mutation == VerdictMutation::StaleViewJudges;
        if !has_valid_view || entry_vm.phase != SettlePhase::Settled {
            return None;
        }
        match self.host {
            HostLife::NotStarted => None,
            HostLife::Live if !self.has_flow => Some(JudgedFlow::Other),
            HostLife::Live => (!self.is_known(entry_vm)).then_some(JudgedFlow::LiveHost),
            HostLife::Departed => self.has_flow.then_some(JudgedFlow::DepartedHost),
            HostLife::Lost => self.has_flow.then_some(JudgedFlow::LostHost),
        }
    }
}

// Returns the phase of an entry VM whose view has become fresh.
fn phase_with_fresh_view(phase: SettlePhase, mutation: VerdictMutation) -> SettlePhase {
    match phase {
        SettlePhase::Started if mutation == VerdictMutation::FirstFreshViewJudges => {
            SettlePhase::Settled
        }
        SettlePhase::Settled if mutation == VerdictMutation::SettlesOnlyAtStart => {
            SettlePhase::Settled
        }
        _ => SettlePhase::Settling,
    }
}

fn step<S>(label: String, state: S) -> SpecStep<S> {
    SpecStep { label, state }
}
