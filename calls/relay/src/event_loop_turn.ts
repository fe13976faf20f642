import {performance, type PerformanceNodeTiming} from 'node:perf_hooks';

interface LoopMetrics {
  uvMetricsInfo?: {loopCount: number; eventsWaiting: number};
}

/** State of the event loop; fields are undefined if Node.js does not tell. */
export interface EventLoopTurn {
  /** Number of the current turn. */
  turn?: number;
  /**
   * Number of events so far that were already waiting when the event loop polled
   * its sockets. While it stays the same, everything was read when it arrived.
   */
  waitingEvents?: number;
}

/** Returns the state of the event loop, which Node.js tells from 20.18 on. */
export function currentEventLoopTurn(): EventLoopTurn {
  const timing: PerformanceNodeTiming & LoopMetrics = performance.nodeTiming;
  const metrics = timing.uvMetricsInfo;
  return {turn: metrics?.loopCount, waitingEvents: metrics?.eventsWaiting};
}
