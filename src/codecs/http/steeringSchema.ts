import * as zod from 'zod';

/** The maximum number of addresses in one request. */
const MAX_ADDRESSES = 1000;

/** A steering request for many client addresses at once, such as a resolver sends. */
export interface SteeringBatch {
  readonly addresses: readonly string[];
}

/** The schema of a steering request for many client addresses. */
export const steeringBatchSchema: zod.ZodType<SteeringBatch> = zod.strictObject(
  {addresses: zod.array(zod.ipv4()).min(1).max(MAX_ADDRESSES)},
);
