//! Just enough JSON for the store: the raw text of one field of an object.

/// Returns the raw text of a field of the object `text`, or `None` if it has no such field.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at = skip_space(bytes, at);
        if *bytes.get(at)? != b'"' {
            return None;
        }
        let key_end = value_end(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if *bytes.get(at)? != b':' {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = value_end(bytes, start)?;
        if key == name {
            return Some(text[start..end].trim());
        }
        at = skip_space(bytes, end);
        if *bytes.get(at)? != b',' {
            return None;
        }
        at += 1;
    }
}

/// Returns a field that is text without escapes.
pub fn text_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    field(text, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a field that is a whole number.
pub fn number_field(text: &str, name: &str) -> Option<u64> {
    field(text, name)?.parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

// Returns the end of the value that starts at `at`.
fn value_end(bytes: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match *bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => {
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b',' if depth == 0 => return Some(at),
            _ => at += 1,
        }
    }
}
