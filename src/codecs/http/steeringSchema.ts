import * as zod from 'zod';

/** The most addresses that one request may name. */
const MAX_ADDRESSES = 1000;

/** A request of somebody who asks for many callers at once, such as a resolver. */
export interface SteeringBatch {
  readonly addresses: readonly string[];
}

/** The schema of a request for many callers. */
export const steeringBatchSchema: zod.ZodType<SteeringBatch> = zod.strictObject(
  {addresses: zod.array(zod.ipv4()).min(1).max(MAX_ADDRESSES)},
);
