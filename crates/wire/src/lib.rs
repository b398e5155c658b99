//! Wire types and codecs of chestnutlb: manifests of operators, objects that the
//! platform stores, and messages between the system's processes.
//!
//! Wire types are plain data. `TryFrom` checks them and converts them to the
//! types of the core, `From` converts those back.
//!
//! ```
//! use chestnutlb_core::FirmManifest;
//! use chestnutlb_wire::{WireManifest, parse_json};
//!
//! let text = r#"{"firm": "dalbit", "services": []}"#;
//! let wire: WireManifest = parse_json(text)?;
//! let manifest = FirmManifest::try_from(&wire)?;
//! assert_eq!(manifest.firm.as_str(), "dalbit");
//! # Ok::<(), chestnutlb_wire::DocumentError>(())
//! ```

pub mod manifest;
pub mod object;
pub mod packet;
pub mod peer;
pub mod records;
pub mod status;

pub use manifest::{DocumentError, WireGrants, WireManifest, WireService, parse_json, parse_text};
pub use object::{ManifestObject, ObjectList, ObjectListEntry, ObjectReply, WireDrain, WriteReply};
pub use packet::{PacketError, PacketFrame, PacketHeader, WireHop, scan_frame, scan_segment};
pub use peer::{PeerError, PeerMessage, scan_message, write_message};
pub use records::{
    WireEntry, WireHost, WireItem, WireMembers, WireObjectVersion, WirePatch, WireRoster,
    WireVersion,
};
