//! Identifier types.
//!
//! Names are validated once, when they enter the process. Numbers are newtypes, so
//! that identifiers of different kinds can't be confused.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use quick_error::quick_error;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

quick_error! {
    /// Error in the text of an identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The text is empty or too long.
        Length(bytes: usize) {
            display("length is {} bytes, must be 1 to {}", bytes, MAX_NAME_BYTES)
        }
        /// The text contains a character that is not allowed in names.
        Character(found: char) {
            display("contains {:?}, allowed are a-z, 0-9 and '-'", found)
        }
        /// A part of an object version does not fit.
        Version(part: &'static str, found: u128) {
            display("{} {} of a version is too large", part, found)
        }
        /// The text is not a whole number.
        Number(text: CompactString) {
            display("{:?} is not a whole number", text)
        }
    }
}

fn scan_name(text: &str) -> Result<CompactString, IdError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(text.len()));
    }
    match text
        .chars()
        .find(|c| !matches!(c, 'a'..='z' | '0'..='9' | '-'))
    {
        Some(found) => Err(IdError::Character(found)),
        None => Ok(CompactString::from(text)),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                scan_name(text).map(Self)
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        number_type!($(#[$doc])* $name, u64);
    };
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| IdError::Number(CompactString::from(text)))
            }
        }
    };
}

name_type!(
    /// Name of a firm.
    FirmName
);
name_type!(
    /// Name of a service, unique within its firm.
    ServiceName
);
name_type!(
    /// Name of a data centre.
    DatacenterName
);
name_type!(
    /// Name of a host, the VM of a backend server.
    HostName
);
name_type!(
    /// Name of an entry VM.
    EntryName
);

number_type!(
    /// Start time of a process in milliseconds since the Unix epoch. A process that is
    /// restarted has a higher incarnation.
    Incarnation
);
number_type!(
    /// Number of times that the platform's store was restored from an older copy. Zero if the
    /// store names no era.
    StoreEra
);
number_type!(
    /// Number of a version within an era: the revision that the platform's store assigned to a
    /// change, or a number that operators gave their document. After a restore, the store assigns
    /// revisions again that it had assigned before.
    StoreRevision,
    u128
);
number_type!(
    /// Identifies a request within the system.
    RequestId
);
number_type!(
    /// Hash of a firm and service name, contained in every packet.
    ServiceTag
);

/// Number of bits of the revision in an [`ObjectVersion`]; the era has the others. Operators may
/// number their documents as they like, by date and time for one.
pub const REVISION_BITS: u32 = 108;

const MAX_ERA: StoreEra = StoreEra((u128::MAX >> REVISION_BITS) as u64);
const MAX_REVISION: StoreRevision = StoreRevision((1 << REVISION_BITS) - 1);

/// Number of bits of the revision in the compact form of a version.
const COMPACT_REVISION_BITS: u32 = 44;

/// Version of an object of the platform: the era of the store, then the revision within it.
///
/// The era is in the upper bits of the number, so that versions are ordered by era first and
/// versions of era zero are plain revisions. The text is `REVISION` in era zero and
/// `ERA.REVISION` in later eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectVersion(pub u128);

impl ObjectVersion {
    /// Creates the version of this revision in this era.
    pub fn new(era: StoreEra, revision: StoreRevision) -> Result<Self, IdError> {
        if era > MAX_ERA {
            return Err(IdError::Version("era", era.0.into()));
        }
        if revision > MAX_REVISION {
            return Err(IdError::Version("revision", revision.0));
        }
        Ok(Self(u128::from(era.0) << REVISION_BITS | revision.0))
    }

    /// Returns the version of this compact form.
    pub fn from_compact(compact: u64) -> Self {
        let era = u128::from(compact >> COMPACT_REVISION_BITS);
        let revision = u128::from(compact) & ((1 << COMPACT_REVISION_BITS) - 1);
        Self(era << REVISION_BITS | revision)
    }

    /// Returns the compact form: era and revision in one number of 64 bits, which earlier
    /// releases know. `None` if the revision does not fit.
    pub fn compact(self) -> Option<u64> {
        let revision = u64::try_from(self.revision().0).ok()?;
        let fits = revision >> COMPACT_REVISION_BITS == 0;
        fits.then_some(self.era().0 << COMPACT_REVISION_BITS | revision)
    }

    /// Returns the version of an object that does not exist in the era of this version. It is
    /// above every version of earlier eras.
    pub fn absent(self) -> Self {
        Self(self.0 & !MAX_REVISION.0)
    }

    /// Returns whether this is the version of an object that does not exist.
    pub fn is_absent(self) -> bool {
        self.revision() == StoreRevision(0)
    }

    /// Returns the era of the store.
    pub fn era(self) -> StoreEra {
        StoreEra((self.0 >> REVISION_BITS) as u64)
    }

    /// Returns the revision within the era as stores count it, in 64 bits; the largest number if
    /// it does not fit.
    pub fn revision_u64(self) -> u64 {
        u64::try_from(self.revision().0).unwrap_or(u64::MAX)
    }

    /// Returns the revision within the era.
    pub fn revision(self) -> StoreRevision {
        StoreRevision(self.0 & MAX_REVISION.0)
    }
}

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era() == StoreEra(0) {
            self.revision().fmt(f)
        } else {
            write!(f, "{}.{}", self.era(), self.revision())
        }
    }
}

impl FromStr for ObjectVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        match text.split_once('.') {
            Some((era, revision)) => Self::new(era.parse()?, revision.parse()?),
            None => Self::new(StoreEra(0), text.parse()?),
        }
    }
}

/// A service together with the firm that owns it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId {
    /// Name of the firm that owns the service.
    pub firm: FirmName,
    /// Name of the service within the firm.
    pub service: ServiceName,
}

impl ServiceId {
    /// Returns the tag that identifies the service in packets.
    pub fn tag(&self) -> ServiceTag {
        let text = format!("{}/{}", self.firm, self.service);
        ServiceTag(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}

impl fmt::Display for ServiceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.firm, self.service)
    }
}

impl FromStr for ServiceId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (firm, service) = text.split_once('/').ok_or(IdError::Character('/'))?;
        Ok(Self {
            firm: firm.parse()?,
            service: service.parse()?,
        })
    }
}
