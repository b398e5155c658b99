//! Wire types and codecs of chestnutlb: what operators write, what the
//! platform keeps and what the system's processes send to each other.
//!
//! Wire types are plain; `From` and `TryFrom` turn them into the checked types
//! of the core and back.
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
pub use object::{ManifestObject, ObjectReply, ObjectStamp, StampList, WriteReply};
pub use packet::{PacketError, PacketFrame, PacketHeader, WireHop, scan_frame, scan_segment};
pub use peer::{PeerError, PeerMessage, scan_message, write_message};
pub use records::{WireEntry, WireHost, WireItem, WireMembers, WirePatch, WireRoster, WireVersion};
