//! Change requests of many MiB.

/// A change request of slightly less than `bytes` bytes: customers with many long keys.
pub(crate) fn change(name: &str, version: u64, bytes: usize) -> Vec<u8> {
    let api_key = |customer: usize, n: usize| format!("\"{name}-{customer}-{n}-{}\"", "k".repeat(200));
    let mut entries = Vec::new();
    let mut size = 0;
    while size + 22_000 < bytes {
        let keys: Vec<String> = (0..100).map(|n| api_key(entries.len(), n)).collect();
        let entry = format!("[\"{name}-{}\",[{}],1,0,0,\"r{version}\"]", entries.len(), keys.join(","));
        size += entry.len() + 1;
        entries.push(entry);
    }
    let headings = r#"["name","permits","class-of-mail","rate-per-s","surge","edition"]"#;
    let request = format!(
        r#"{{"deliver":{{"customers":{{"headings":{headings},"entries":[{}]}}}}}}"#,
        entries.join(",")
    );
    assert!(request.len() <= bytes && request.len() + 30_000 > bytes);
    request.into_bytes()
}
