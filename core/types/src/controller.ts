/** A long-running component of a process with an explicit life cycle. */
export interface Controller {
  /** Starts timers and connections. */
  start(): Promise<void>;
  /** Releases everything that `start` acquired. Safe to call more than once. */
  close(): Promise<void>;
}
