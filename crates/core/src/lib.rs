//! Decisions of chestnutlb, without any input or output.
//!
//! Whoever drives this crate hands in events together with the time and
//! carries out what comes back. Nothing here reads a clock, opens a socket or
//! starts a thread, so every decision can be tested in virtual time.
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
pub mod answers;
pub mod backend;
pub mod budget;
pub mod carried;
pub mod carried_routes;
pub mod carried_verdict;
pub mod chart;
pub mod control;
pub mod document;
pub mod entry;
pub mod events;
pub mod flow;
pub mod ids;
pub mod keeper;
pub mod load;
pub mod manifest;
pub mod members;
pub mod ownership;
pub mod placement;
pub mod requests;
pub mod roster;
pub mod search;
pub mod slots;
pub mod timer;
pub mod units;
pub mod view;
pub mod view_builder;

pub use admission::HostAdmission;
pub use backend::{BackendLife, BackendNews, BackendReport, BackendState, ReportTiming};
pub use budget::RetryBudget;
pub use carried::{BackendFacts, CarriedFlows, SentTiming};
pub use carried_routes::{CarriedPlan, CarriedRouter, SearchVerdict};
pub use carried_verdict::{CarriedArrival, CarriedVerdict, SentVerdict};
pub use chart::{
    FlowEvent, FlowState, HostEvent, HostState, RequestEvent, RequestState, check_charts,
};
pub use control::EntryControl;
pub use document::{DocumentId, DocumentItem, DocumentKind, DocumentPatch, DocumentStore};
pub use entry::{EntryRouter, HopPlan, PlanSource, RouteDecision, RouteDrop};
pub use events::{ControlAction, ControlEvent, HeartbeatNews, MemberEdit, WelcomeNews};
pub use flow::{BucketIndex, FlowHash, FlowKey, SegmentFacts};
pub use ids::{
    DatacenterName, EntryName, FirmName, HostName, Incarnation, ObjectVersion, RequestId,
    ServiceId, ServiceName, ServiceTag,
};
pub use keeper::{HostKeeper, HostRevision, RosterEdit};
pub use load::{HostLoad, LoadBoard};
pub use manifest::{
    AddressBlock, FirmManifest, ManifestChange, RequestClass, RouteRule, ServiceKind, ServiceSpec,
};
pub use members::{EntryRecord, EntryWatch};
pub use ownership::{FlowTable, OpeningGate, PacketArrival, PacketDrop, PacketVerdict};
pub use requests::{CancelWord, RelayLedger, RelayWord, RequestLedger, RequestOutcome};
pub use roster::{HostIndex, HostRecord};
pub use search::{FlowQuestion, FlowSearches, FlowWord, SearchEnd};
pub use slots::{SlotEvent, SlotOffer, SlotPolicy, SlotRefusal, SlotScheduler};
pub use timer::{TimerPart, TimerService};
pub use units::{ByteCount, HostWeight, PercentShare, TimePoint};
pub use view::RoutingView;
