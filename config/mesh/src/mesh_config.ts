import type {Brand, ConfigVersion, ServiceName} from '@carobseam/core.types';

/** Name of a route, unique within one configuration. */
export type RouteName = Brand<string, 'RouteName'>;

/** A service that receives a share of a route's requests. */
export interface ServiceShare {
  service: ServiceName;
  /** Relative weight; the shares of a route need not add up to 100. */
  weight: number;
}

/** A rule that maps requests, by host and path prefix, to services. */
export interface MeshRoute {
  name: RouteName;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  /** Whether a request may be executed more than once, so that it can be retried. */
  isIdempotent: boolean;
  /** Time limit of a request, in ms; a deadline set by the caller can only shorten it. */
  timeoutMs: number;
  /** Latency that responses should not exceed, in ms. */
  targetLatencyMs: number;
  /** Priority; 0 is the highest. */
  rank: number;
  /** Maximum number of workers that one request is sent to. */
  maxAttempts: number;
  shares: readonly ServiceShare[];
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One accepted version of the configuration, complete. */
export interface MeshConfig {
  version: ConfigVersion;
  routes: readonly MeshRoute[];
  limits: CallerLimits;
}
