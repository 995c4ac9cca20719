//! Idle connections that wait for another exchange.

use super::http1::Connection;

/// Idle connections to one address, the one used last at the end.
#[derive(Debug)]
pub struct IdleConnections {
    max: usize,
    connections: Vec<Connection>,
}

impl IdleConnections {
    /// Keeps up to `max` connections.
    pub fn new(max: usize) -> Self {
        Self { max, connections: Vec::new() }
    }

    /// Takes a usable connection that is suitable, if there is one.
    pub fn take(&mut self, is_suitable: impl Fn(&Connection) -> bool) -> Option<Connection> {
        while let Some(index) = self.connections.iter().rposition(&is_suitable) {
            let connection = self.connections.remove(index);
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse, in place of the oldest one if there are too many.
    pub fn keep(&mut self, connection: Connection) {
        if self.connections.len() >= self.max {
            self.connections.remove(0);
        }
        self.connections.push(connection);
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.connections.clear();
    }
}
