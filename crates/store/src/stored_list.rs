//! The list of records that a roster or members object consists of, decoded record by record.
//!
//! Other programs may write such objects too. A record that can't be read is left out of the
//! document, but kept by edits: it may be the record of a host that owns flows.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};

use chestnutlb_core::{
    DocumentId, DocumentItem, DocumentKind, EntryRecord, HostRecord, Incarnation, ObjectVersion,
    UnreadableItems,
};
use chestnutlb_wire::{WireEntry, WireHost};

use crate::client::StoreError;
use crate::objects::LoadedDocument;

/// Number of records that can't be read which an edit keeps. Further ones are removed, since
/// objects are limited in size.
const MAX_KEPT_UNREADABLE: usize = 64;

/// The records of an object.
#[derive(Debug)]
pub(crate) struct StoredList {
    // Field of the object that contains the list.
    field: &'static str,
    records: Vec<DocumentItem>,
    unreadable: Vec<Value>,
    // Whether the object has no list.
    is_whole: bool,
}

impl StoredList {
    /// Decodes the object of a roster or members document; `None` stands for one that does not
    /// exist.
    pub fn new(id: &DocumentId, object: Option<Value>) -> Self {
        let mut stored = Self {
            field: match id.kind {
                DocumentKind::Members => "entries",
                _ => "hosts",
            },
            records: Vec::new(),
            unreadable: Vec::new(),
            is_whole: false,
        };
        let Some(mut object) = object else {
            return stored;
        };
        let Some(Value::Array(values)) = object.get_mut(stored.field).map(Value::take) else {
            stored.is_whole = true;
            return stored;
        };
        for value in values {
            match read_record(id, &value) {
                Some(record) => stored.records.push(record),
                None => stored.unreadable.push(value),
            }
        }
        stored
    }

    /// Inserts a record, or replaces the one of its name.
    pub fn put(&mut self, record: DocumentItem) {
        let key = record.key();
        self.remove_unreadable_record(&key);
        self.records.retain(|listed| listed.key() != key);
        self.records.push(record);
    }

    /// Inserts or replaces a record unless that of a later incarnation is listed.
    pub fn put_incarnation(&mut self, record: DocumentItem) {
        let key = record.key();
        let is_later = |listed: &DocumentItem| {
            listed.key() == key && incarnation(listed) > incarnation(&record)
        };
        if !self.records.iter().any(is_later) {
            self.put(record);
        }
    }

    /// Removes the record of the same name, unless it is of a later incarnation.
    pub fn remove(&mut self, record: &DocumentItem) {
        let key = record.key();
        self.remove_unreadable_record(&key);
        self.records
            .retain(|listed| listed.key() != key || incarnation(listed) > incarnation(record));
    }

    fn remove_unreadable_record(&mut self, key: &str) {
        self.unreadable
            .retain(|value| record_key(value) != Some(key));
    }

    /// Removes all records that can't be read.
    pub fn remove_unreadable(&mut self) {
        self.unreadable.clear();
    }

    /// Returns the object, with the records in the order of their names.
    pub fn into_value(mut self) -> Result<Value, StoreError> {
        self.records.sort_by_key(DocumentItem::key);
        let mut values = self
            .records
            .iter()
            .map(record_value)
            .collect::<Result<Vec<_>, _>>()?;
        values.extend(self.unreadable.into_iter().take(MAX_KEPT_UNREADABLE));
        Ok(json!({self.field: values}))
    }

    /// Returns the document of this version.
    pub fn into_document(self, version: ObjectVersion) -> LoadedDocument {
        let mut unreadable = UnreadableItems {
            is_whole: self.is_whole,
            ..UnreadableItems::default()
        };
        for value in &self.unreadable {
            match record_key(value) {
                Some(key) => {
                    unreadable.keys.insert(key.into());
                }
                None => unreadable.unnamed += 1,
            }
        }
        LoadedDocument {
            cause: None,
            version,
            items: self.records,
            unreadable,
        }
    }
}

// Returns `None` for a record that can't be read, or belongs to another data centre than the
// document.
fn read_record(id: &DocumentId, value: &Value) -> Option<DocumentItem> {
    let (item, datacenter) = match id.kind {
        DocumentKind::Members => {
            let record = EntryRecord::try_from(&WireEntry::deserialize(value).ok()?).ok()?;
            let datacenter = record.datacenter.clone();
            (DocumentItem::Entry(record), datacenter)
        }
        _ => {
            let record = HostRecord::try_from(&WireHost::deserialize(value).ok()?).ok()?;
            let datacenter = record.datacenter.clone();
            (DocumentItem::Host(Arc::new(record)), datacenter)
        }
    };
    (datacenter.as_str() == id.name).then_some(item)
}

fn record_key(value: &Value) -> Option<&str> {
    value.get("name")?.as_str()
}

fn record_value(record: &DocumentItem) -> Result<Value, StoreError> {
    let value = match record {
        DocumentItem::Host(record) => serde_json::to_value(WireHost::from(record.as_ref())),
        DocumentItem::Entry(record) => serde_json::to_value(WireEntry::from(record)),
        DocumentItem::Grant(..) | DocumentItem::Service(_) | DocumentItem::Drain(_) => {
            Ok(Value::Null)
        }
    };
    value.map_err(|error| StoreError::Format(error.to_string()))
}

fn incarnation(record: &DocumentItem) -> Incarnation {
    match record {
        DocumentItem::Host(record) => record.incarnation,
        DocumentItem::Entry(record) => record.incarnation,
        DocumentItem::Grant(..) | DocumentItem::Service(_) | DocumentItem::Drain(_) => {
            Incarnation(0)
        }
    }
}
