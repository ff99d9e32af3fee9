//! A client of event streams, by the rules of the HTML standard and apart from the gateway's reader.

/// An event as dispatched to the client's user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The client's last identifier at that moment.
    pub id: String,
    pub data: String,
}

/// What a client has read of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventClient {
    pub events: Vec<Event>,
    /// Identifier after which the client would resume the stream.
    pub last_id: String,
}

impl EventClient {
    /// Reads a whole stream.
    pub fn read(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let text = text.strip_prefix('\u{feff}').unwrap_or(&text);
        let text = text.replace("\r\n", "\n").replace('\r', "\n");
        let mut client = Self::default();
        let (mut id, mut data) = (String::new(), String::new());
        // What follows the last line end is not processed.
        let lines = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        if !text.contains('\n') {
            return client;
        }
        for line in lines.split('\n') {
            if line.is_empty() {
                client.last_id.clone_from(&id);
                let whole = std::mem::take(&mut data);
                if let Some(data) = whole.strip_suffix('\n') {
                    client.events.push(Event {
                        id: id.clone(),
                        data: data.to_owned(),
                    });
                }
                continue;
            }
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "data" => {
                    data.push_str(value);
                    data.push('\n');
                }
                "id" if !value.contains('\0') => value.clone_into(&mut id),
                _ => {}
            }
        }
        client
    }
}
