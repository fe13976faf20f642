import {
  dataCentreNameSchema,
  policyNameSchema,
  serviceNameSchema,
  type ResourceId,
} from '@carobseam/core.types';
import {z} from 'zod';

const durationMsSchema = z.number().int().positive().max(86_400_000);

/** Capacity of a service's workers. */
export const serviceResourceSchema = z.strictObject({
  kind: z.literal('service'),
  name: serviceNameSchema,
  dataCentres: z.array(dataCentreNameSchema).min(1),
  /** Requests that one worker runs at once. */
  slots: z.number().int().positive().max(10_000),
  /** Connections that one worker accepts. */
  connections: z.number().int().positive().max(100_000),
  /** Time that one new connection costs the worker. */
  newConnectionMs: z.number().nonnegative().default(1),
  /** Time in which a cold worker goes from one slot in 8 to all. */
  rampMs: durationMsSchema.default(10_000),
});

/** Time limits, queue lengths and retries of routes. */
export const policyResourceSchema = z.strictObject({
  kind: z.literal('policy'),
  name: policyNameSchema,
  /** Deadline of a call whose caller sets none. */
  timeoutMs: durationMsSchema,
  /** Time without a first byte after which the connection is checked. */
  firstByteTimeoutMs: durationMsSchema.default(1000),
  /** Calls of one worker that may wait, per operation class. */
  queueLength: z.number().int().nonnegative().max(100_000).default(100),
  maxRetries: z.number().int().min(0).max(5).default(2),
  /** Retries as a share of recent calls. */
  retryBudgetPercent: z.number().min(0).max(100).default(10),
  allowOtherDataCentres: z.boolean().default(false),
});

/** One route: a match and where its calls go. */
export const routeSchema = z.strictObject({
  name: z.string().min(1).max(128),
  method: z.enum(['ANY', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Exact path, or a prefix that ends in `/*`. */
  path: z.string().regex(/^\/[^*?#\s]*\*?$/, 'use /path or /prefix/*'),
  service: serviceNameSchema,
  policy: policyNameSchema,
  operationClass: z.enum(['interactive', 'deferrable']),
  /** Whether running the operation twice does no harm. */
  repeatable: z.boolean(),
});

/** A group of routes. */
export const routesResourceSchema = z.strictObject({
  kind: z.literal('routes'),
  name: z.string().regex(/^[a-z0-9][a-z0-9._-]*$/),
  routes: z.array(routeSchema).min(1).max(1000),
});

/** Schema of every resource, by its kind. */
export const resourceSchema = z.discriminatedUnion('kind', [
  serviceResourceSchema,
  policyResourceSchema,
  routesResourceSchema,
]);

/** Capacity and data centres of a service; times in ms. */
export type ServiceResource = z.output<typeof serviceResourceSchema>;
/** Limits of the calls of a route; times in ms. */
export type PolicyResource = z.output<typeof policyResourceSchema>;
/** A group of routes. */
export type RoutesResource = z.output<typeof routesResourceSchema>;
/** Where the requests of a method and path go, and how they may be handled. */
export type Route = z.output<typeof routeSchema>;
/** A resource of any kind. */
export type Resource = z.output<typeof resourceSchema>;
/** Whether calls of a route take priority or may wait. */
export type OperationClass = Route['operationClass'];

/** The identifier of a resource. */
export function resourceIdOf(resource: {
  kind: Resource['kind'];
  name: string;
}): ResourceId {
  return `${resource.kind}/${resource.name}` as ResourceId;
}
