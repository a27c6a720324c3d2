declare const brand: unique symbol;

/** A primitive type that is only assignable from itself, so ids of different kinds cannot be confused. */
export type Branded<Base, Name extends string> = Base & {
	readonly [brand]: Name;
};
