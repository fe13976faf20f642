const REFERENCE_TARGET_MS = 500; // target latency to which the times below belong
const MIN_SCALE = 0.2; // shorter times cost more interim responses than they save
const FIRST_INTERIM_MS = 150; // most responses arrive sooner
const INTERIM_INTERVAL_MS = 200; // two may be late before the hop counts as silent
const SILENT_MS = 600;
const DEAD_CONNECTION_MS = 1000;

/** Times by which a hop to another relay shows that it is alive. */
export interface HopTimes {
  /** When the worker's relay sends its first interim response, in ms. */
  firstInterimMs: number;
  /** Time between two interim responses, in ms. */
  interimIntervalMs: number;
  /** Time without a byte after which the hop counts as silent, in ms. */
  silentMs: number;
  /**
   * Time in which a relay that answers probes all the while sends an interim
   * response, in ms.
   */
  deadConnectionMs: number;
}

/**
 * Returns the times for the requests of a route. Where a response is due soon, a
 * silent hop must be noticed soon.
 */
export function hopTimesOf(targetLatencyMs: number): HopTimes {
  const share = targetLatencyMs / REFERENCE_TARGET_MS;
  return scaleTo(Math.min(1, Math.max(MIN_SCALE, share)));
}

/**
 * Returns the times that belong to a first interim response.
 *
 * @param firstInterimMs as the sender of a request has stated it; undefined where
 *     it has stated nothing.
 */
export function hopTimesFrom(firstInterimMs: number | undefined): HopTimes {
  return scaleTo(
    firstInterimMs === undefined ? 1 : firstInterimMs / FIRST_INTERIM_MS,
  );
}

function scaleTo(scale: number): HopTimes {
  return {
    firstInterimMs: FIRST_INTERIM_MS * scale,
    interimIntervalMs: INTERIM_INTERVAL_MS * scale,
    silentMs: SILENT_MS * scale,
    deadConnectionMs: DEAD_CONNECTION_MS * scale,
  };
}
