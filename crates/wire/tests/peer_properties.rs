//! Properties of the messages between entries: no bytes make a decoder panic, and
//! what was encoded is decoded again.

use domain::server_registry::RegistryChange;
use proptest::prelude::*;
use wire::entry_peer::{ChangeMessage, ChangesReply, EntryMessage, StateReply};

proptest! {
    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = serde_json::from_slice::<ChangesReply>(&bytes);
        let _ = serde_json::from_slice::<StateReply>(&bytes);
        let _ = serde_json::from_slice::<EntryMessage>(&bytes);
    }

    /// Fields of the right names with values of any kind.
    #[test]
    fn odd_fields_make_no_decoder_panic(
        news in "changes|state|nothing|history_gone|.{0,4}",
        number in "-?[0-9]{1,400}|1e999|null|\"x\"|\\[\\]",
        address in "\"[0-9.:]{0,24}\"|[0-9]{1,6}|null",
    ) {
        let text = format!(
            r#"{{"news":"{news}","version":{number},"read":1,"row":{number},"age_ms":{number},
            "changes":[{{"instance":"i","present":{{"service":"s","address":{address},
            "failure_domain":"a","slots":{number},"draining":false,"born_ms":1}}}}],
            "leaving":[{{"instance":"i","born_ms":{number}}}]}}"#
        );
        if let Ok(ChangesReply::Changes { changes, .. }) = serde_json::from_str(&text) {
            for change in changes {
                let _ = RegistryChange::try_from(change);
            }
        }
        let _ = serde_json::from_str::<StateReply>(&text);
    }

    #[test]
    fn state_is_decoded_as_it_was_encoded(
        row in any::<u64>(),
        era in any::<Option<u64>>(),
        age_ms in any::<u64>(),
        value in prop::option::of(".{0,60}"),
    ) {
        let reply = StateReply::State {
            row, era, age_ms, held_ms: age_ms / 2, value, orders: Vec::new(),
        };
        let text = serde_json::to_string(&reply).expect("JSON");
        prop_assert_eq!(serde_json::from_str::<StateReply>(&text).expect("a reply"), reply);
    }

    #[test]
    fn changes_are_decoded_as_they_were_encoded(
        instance in ".{1,20}",
        service in ".{0,20}",
        address in any::<([u8; 4], u16)>(),
        slots in any::<u32>(),
        draining in any::<bool>(),
        born_ms in any::<u64>(),
    ) {
        let message = ChangeMessage {
            instance,
            present: Some(wire::entry_peer::PresentMessage {
                service,
                address: address.into(),
                version: String::new(),
                failure_domain: "a".to_owned(),
                slots,
                draining,
                born_ms,
            }),
        };
        let change = RegistryChange::try_from(message.clone()).expect("a change");
        prop_assert_eq!(ChangeMessage::from(&change), message);
    }
}
