declare const brand: unique symbol;

/** A nominal primitive type, so that ids of different kinds cannot be mixed up. */
export type Branded<Base, Name extends string> = Base & {
	readonly [brand]: Name;
};
