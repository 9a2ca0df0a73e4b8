//! The commands that a gateway has taken, each from its intake to its final answer.

use crate::intake::Intake;
use crate::poll::ClientKey;
use kitepass::{Ending, Moment};
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
    pub outer_limit: Moment,
    pub legs: u32,
    pub last: Option<Ending>,
    state: State,
}

impl Command {
    pub fn new(client: ClientKey, intake: Intake, outer_limit: Moment) -> Command {
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
        let trace = command.intake.trace.clone();
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
            if self.open.get(&command.intake.trace) == Some(&key) {
                self.open.remove(&command.intake.trace);
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
