//! The commands that a gateway has taken, each from its intake to its final answer.

use crate::poll::ClientKey;
use crate::request_head::Intake;
use kitepass_gateway_policy::AttemptOutcome;
use kitepass_time::Timestamp;
use slotmap::{Key, KeyData, SlotMap};
use std::collections::HashMap;
use std::rc::Rc;

slotmap::new_key_type! {
    pub struct CommandKey;
}

/// What the decision module calls a command.
pub fn id(key: CommandKey) -> String {
    key.data().as_ffi().to_string()
}

pub fn key(id: &str) -> Option<CommandKey> {
    id.parse().ok().map(|ffi| KeyData::from_ffi(ffi).into())
}

/// A command's states. `Commands::shift` alone changes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Taken; no leg is out.
    Held,
    /// Its leg is out.
    Out,
    /// It needs no answer any more, and its leg is still out.
    Parted,
    /// It has its answer or needs none, and no leg is out.
    Over,
}

#[derive(Debug)]
pub struct Command {
    pub client: ClientKey,
    pub intake: Rc<Intake>,
    pub outer_limit: Timestamp,
    pub legs: u32,
    pub last: Option<AttemptOutcome>,
    state: State,
}

impl Command {
    pub fn new(client: ClientKey, intake: Intake, outer_limit: Timestamp) -> Command {
        Command { client, intake: Rc::new(intake), outer_limit, legs: 0, last: None, state: State::Held }
    }

    pub fn state(&self) -> State {
        self.state
    }
}

#[derive(Default)]
pub struct Commands {
    all: SlotMap<CommandKey, Command>,
    /// Those that are to be answered, by their trace ids.
    open: HashMap<Box<[u8]>, CommandKey>,
}

impl Commands {
    pub fn take(&mut self, command: Command) -> CommandKey {
        let trace = command.intake.trace().into();
        let key = self.all.insert(command);
        self.open.insert(trace, key);
        key
    }

    /// The command that is open under a trace id.
    pub fn open_as(&self, trace: &[u8]) -> Option<&Command> {
        self.get(*self.open.get(trace)?)
    }

    pub fn get(&self, key: CommandKey) -> Option<&Command> {
        self.all.get(key)
    }

    pub fn get_mut(&mut self, key: CommandKey) -> Option<&mut Command> {
        self.all.get_mut(key)
    }

    /// Changes a command's state. One that is over is forgotten.
    pub fn shift(&mut self, key: CommandKey, to: State) {
        if let (State::Parted | State::Over, Some(command)) = (to, self.all.get(key)) {
            let trace = command.intake.trace();
            if self.open.get(trace) == Some(&key) {
                self.open.remove(trace);
            }
        }
        if to == State::Over {
            self.all.remove(key);
        } else if let Some(command) = self.all.get_mut(key) {
            command.state = to;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http::{MessageKind, MessageReader};

    #[test]
    fn no_command_and_no_id_is_kept_once_it_is_over() {
        let settings = r#"{"Classes":[{"Name":"look"}],"Plans":[{"Name":"team"}]}"#;
        let (config, _) = kitepass_gateway_config::from_text("settings", settings).unwrap();
        let mut commands = Commands::default();
        for n in 0..1000 {
            let mut text = format!(
                "GET /look/00000000b4d6{n:04x} HTTP/1.1\r\nX-Trace-Id: t{n}\r\nX-Tariff: team\r\n\
                 X-Expires-In-Ms: 100\r\nX-Weight: units=1\r\n\r\n"
            )
            .into_bytes();
            let message =
                MessageReader::default().next(MessageKind::Request, &mut text, false).unwrap().unwrap();
            let intake = Intake::read(message, &config).unwrap();
            let key = commands.take(Command::new(ClientKey::default(), intake, Timestamp::from_micros(0)));
            assert!(commands.open_as(format!("t{n}").as_bytes()).is_some());
            commands.shift(key, State::Out);
            commands.shift(key, State::Parted);
            assert!(commands.open_as(format!("t{n}").as_bytes()).is_none());
            commands.shift(key, State::Over);
        }
        assert!(commands.is_empty() && commands.open.is_empty());
    }
}
