//! Decision logic of chestnutlb, without any input or output.
//!
//! The caller passes events together with the current time and carries out the
//! returned actions. Nothing in this crate reads a clock, opens a socket or starts a
//! thread, so every decision can be tested in virtual time.
//!
//! ```
//! use chestnutlb_core::{SlotOffer, SlotPolicy, SlotScheduler};
//! use chestnutlb_core::{RequestClass, RequestId, TimePoint};
//!
//! let mut slots = SlotScheduler::new(SlotPolicy::Classes, 1, 8);
//! let deadline = TimePoint(1_000);
//! let offer = slots.offer(RequestId(1), RequestClass::Short, deadline, TimePoint(0));
//! assert_eq!(offer, SlotOffer::Start);
//! ```

pub mod admission;
pub mod backend;
pub mod backend_report;
pub mod budget;
pub mod capacity_estimate;
pub mod chart;
mod confirmations;
pub mod control;
mod control_documents;
mod control_duties;
mod control_gossip;
mod control_registrations;
pub mod document;
pub mod early_packets;
pub mod entry;
pub mod events;
pub mod flow;
pub mod host_tracker;
pub mod ids;
pub mod known_hosts;
pub mod load;
pub mod manifest;
mod member_rings;
pub mod members;
mod observed_start;
pub mod opening_plan;
pub mod opening_rules;
mod operator_reads;
pub mod owner_lookup;
pub mod ownership;
pub mod passthrough;
mod passthrough_lookups;
pub mod passthrough_plan;
pub mod passthrough_routes;
pub mod passthrough_verdict;
pub mod placement;
mod possible_owners;
pub mod registration_targets;
pub mod requests;
pub mod responses;
pub mod roster;
mod service_hosts;
pub mod slots;
pub mod timer;
pub mod units;
pub mod unreadable_items;
pub mod view;
pub mod view_builder;
pub mod watch_stand_in;

pub use admission::HostAdmission;
pub use backend::{BackendChange, BackendTracker, ReportTiming, SideHistory};
pub use backend_report::{BackendIdentity, BackendReport, BackendState, ForeignReport};
pub use budget::RetryBudget;
pub use capacity_estimate::{CapacityEstimate, LearnedCapacity};
pub use chart::{
    FlowEvent, FlowState, HostEvent, HostState, RequestEvent, RequestState, check_charts,
};
pub use confirmations::{Confirmations, FeedConfirmation, FeedConfirmations, FeedIndex, FeedScope};
pub use control::EntryControl;
pub use document::{
    DocumentId, DocumentItem, DocumentKind, DocumentPatch, DocumentStore, DrainNotice,
};
pub use early_packets::EarlyPackets;
pub use entry::{EntryRouter, HopPlan, PlanSource, RouteDecision, RouteDrop};
pub use events::{
    ControlAction, ControlEvent, Heartbeat, ListScope, MemberEdit, RegistrationReply,
};
pub use flow::{BucketIndex, FlowHash, FlowKey, TcpSegment};
pub use host_tracker::{HostRevision, HostTracker, RosterEdit};
pub use ids::{
    DatacenterName, EntryName, FirmName, HostName, Incarnation, ObjectVersion, RequestId,
    ServiceId, ServiceName, ServiceTag, StoreEra, StoreRevision,
};
pub use load::{HostLoad, LoadTable};
pub use manifest::{
    AddressBlock, FirmManifest, ManifestChange, RequestClass, RouteRule, ServiceKind, ServiceSpec,
};
pub use members::{EntryMonitor, EntryRecord};
pub use observed_start::{ConnectAnswer, ObservedStart, StartObserver};
pub use opening_plan::{LeftOut, OpeningCandidate, OpeningExplanation};
pub use opening_rules::{ColdLimit, OpeningGate, OpeningRules};
pub use owner_lookup::{CompletedLookup, LookupQuery, LookupResult, OwnerLookups, OwnershipReply};
pub use ownership::{AdmissionGate, FlowTable, PacketArrival, PacketDrop, PacketVerdict};
pub use passthrough::{BackendInfo, PassthroughFlows, ReplyTiming};
pub use passthrough_plan::{LookupVerdict, PassthroughPlan, RerouteDecision};
pub use passthrough_routes::PassthroughRouter;
pub use passthrough_verdict::{PassthroughArrival, PassthroughVerdict, ReplyVerdict};
pub use registration_targets::RegistrationTargets;
pub use requests::{CancelResult, RelayAdmission, RelayTable, RequestOutcome, RequestTable};
pub use roster::{HostIndex, HostRecord};
pub use slots::{SlotEvent, SlotOffer, SlotPolicy, SlotRefusal, SlotScheduler};
pub use timer::{TimerKind, TimerService};
pub use units::{ByteCount, HostWeight, PercentShare, TimePoint};
pub use unreadable_items::UnreadableItems;
pub use view::RoutingView;
