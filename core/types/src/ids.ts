import {z} from 'zod';
import type {Brand} from './brand.js';

/** Identifier of a VM and of the daemon that runs on it. */
export type VmId = Brand<string, 'VmId'>;
/** Name of a data centre. */
export type DataCentreName = Brand<string, 'DataCentreName'>;
/** Name of a service. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** Name of a preset. */
export type PresetName = Brand<string, 'PresetName'>;
/** Name of a policy. */
export type PolicyName = Brand<string, 'PolicyName'>;
/** Identifier of a resource: kind and name, separated by a slash. */
export type ResourceId = Brand<string, 'ResourceId'>;
/** Version of the configuration, a positive integer that increases. */
export type ConfigVersion = Brand<number, 'ConfigVersion'>;
/** First 16 bytes of a SHA-256 digest, as 32 lower-case hex digits. */
export type Digest = Brand<string, 'Digest'>;

const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$/;
const DIGEST_PATTERN = /^[0-9a-f]{32}$/;
const RESOURCE_ID_PATTERN = /^(service|policy|routes)\/[a-z0-9][a-z0-9._-]*$/;

function nameSchema<T>() {
  return z
    .string()
    .regex(
      NAME_PATTERN,
      'use 1 to 63 lower-case letters, digits, dots, dashes or underscores',
    )
    .transform(value => value as unknown as T);
}

/** Schemas that validate and brand identifiers from outside the process. */
export const vmIdSchema = nameSchema<VmId>();
export const dataCentreNameSchema = nameSchema<DataCentreName>();
export const serviceNameSchema = nameSchema<ServiceName>();
export const presetNameSchema = nameSchema<PresetName>();
export const policyNameSchema = nameSchema<PolicyName>();
export const resourceIdSchema = z
  .string()
  .regex(RESOURCE_ID_PATTERN, 'use service/NAME, policy/NAME or routes/NAME')
  .transform(value => value as unknown as ResourceId);
export const configVersionSchema = z
  .number()
  .int()
  .positive()
  .transform(value => value as unknown as ConfigVersion);
export const digestSchema = z
  .string()
  .regex(DIGEST_PATTERN, 'use 32 lower-case hex digits')
  .transform(value => value as unknown as Digest);
